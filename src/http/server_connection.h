// One connection of the HTTP server.
#ifndef SRC_HTTP_SERVER_CONNECTION_H_
#define SRC_HTTP_SERVER_CONNECTION_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http/beast.h"
#include "http/cut_call.h"
#include "http/pipeline.h"
#include "http/server.h"

namespace buckthorngate::http {

class Server::Connection : public ServerCall,
                           public std::enable_shared_from_this<Connection> {
 public:
  Connection(Server& server, Tcp::socket socket);
  ~Connection() override;
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Serves the connection until it ends, and keeps it until then.
  static Task<void> Serve(std::shared_ptr<Connection> connection);
  // Closes the connection if no request is under way. One whose bytes have been
  // read counts as under way.
  void CloseIfIdle();
  // Whether a request may be under way; false once the connection takes none
  // any more.
  bool Serving() const { return serving_; }
  // Cancels the requests that are under way, and closes the connection.
  void Cancel();
  // Tells of the requests that are under way as cut by the server's end.
  void TellOpen();
  // The server goes away; nothing of it may be used any more.
  void Orphan() { server_ = nullptr; }

  const RequestHead& Head() const override { return head_; }
  void SetId(std::string_view id) override { cut_.id_ = id; }
  bool HasBody() const override;
  CancelSignal& Gone() override { return *gone_; }
  bool StillThere() override;
  std::optional<uint64_t> Length() const override;
  Task<BodyState> Read(std::string& piece, size_t most) override;
  std::string_view Failure() const override { return body_failure_; }
  Task<bool> Answer(const AnswerHead& head, std::string_view body) override;
  Task<bool> AnswerWithoutBody(const AnswerHead& head,
                               std::optional<uint64_t> length) override;
  Task<bool> Begin(const AnswerHead& head,
                   std::optional<uint64_t> length) override;
  Task<bool> Write(std::string_view piece) override;
  Task<bool> Finish() override;
  void NoteBodyFailure(std::string_view why) override;
  bool AnswerArrived() override;
  void Abort() override;

 private:
  using Parser = Pipeline::Parser;
  using Stream = bhttp::response<bhttp::buffer_body>;

  Task<void> Run();
  // Waits for the first byte of a request; false when the connection ends.
  Task<bool> AwaitRequest();
  // A new parser with the server's limits.
  void PrepareParser(std::optional<Parser>& parser) const;
  // Reads a head; false if it is malformed, which has been answered.
  Task<bool> ReadHead();
  Task<void> HandleOne();
  // Resets what is known of the request before, and the end of a request, with
  // the text of its handler's exception, if any.
  void BeginRequest();
  void EndRequest(const std::string& failure);
  Task<void> AnswerMalformed(const ErrorCode& error);
  // Answers a request whose body is malformed, if its handler has not.
  Task<void> AnswerMalformedBody();
  Task<void> SendContinue();
  // Looks out for the caller leaving, until the request is answered.
  void ArmWatch();
  void OnWatch();

  // server_connection_pipeline.cc: requests behind the one that is answered.
  // Whether a request that was parsed may run beside others.
  static bool MayBePipelined(const Parser& parser);
  bool HasCallsBehind() const;
  bool MayBeginBehind() const;
  // Begins the requests that have arrived and may run beside those before
  // them, and watches for more.
  void ReadOn();
  // Takes what the socket has, without waiting.
  void FillBuffer();
  void BeginBehind();
  void BeginCall(const Parser& parser);
  static Task<void> RunBehind(std::shared_ptr<Connection> connection,
                              std::shared_ptr<PipelinedCall> call);
  // Answers the next request that was begun.
  Task<void> AnswerBehind();
  // Cancels the requests that were begun behind the current one.
  void CancelBehind();
  // Tells of them as cut.
  void ReportCutBehind(CutCause cause, const std::string& detail);

  // server_connection_held.cc: a streamed answer with requests behind it.
  struct HeldAnswer {
    AnswerHead head_;
    std::optional<uint64_t> length_;
    std::string body_;
  };
  // Whether so many further bytes of a streamed answer may be held.
  bool MayHold(size_t bytes) const;
  void Hold(const AnswerHead& head, std::optional<uint64_t> length);
  void HoldMore(std::string_view piece);
  // Gives the memory back.
  HeldAnswer TakeHeld();
  // Sends what is held; false if that failed.
  Task<bool> SendHeld(HeldAnswer held);
  // Answers in the place of a held answer that was broken off.
  Task<void> AnswerBrokenOff();
  Task<bool> BeginStream(const AnswerHead& head,
                         std::optional<uint64_t> length);
  Task<bool> WritePiece(std::string_view piece);

  // Empty while the caller is there, else what tells that it is not.
  std::string HowItLeft();
  void NoteReadWhole();
  // Keeps the first cause why the request will have no whole answer.
  void NoteCut(CutCause cause, std::string detail);
  void NoteWriteError(const ErrorCode& error);
  // The socket took `sent` bytes of an answer, `head` of them its head.
  void NoteSent(size_t sent, size_t head);
  // Once for a request that has no whole answer.
  void ReportCut();
  // Whether another request may follow on the connection.
  bool MayKeep() const;
  base::Duration WriteTimeout() const;
  // An answer with its body, whatever the request's method is.
  Task<bool> AnswerWhole(const AnswerHead& head, std::string_view body);
  // Status and headers of an answer, and whether the connection is kept.
  template <class Message>
  void FillHead(const AnswerHead& head, Message& message);
  Task<void> DiscardRest();
  // Lets the other side read the last answer before the socket closes.
  Task<void> Linger();

  Server* server_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  // Of the first request of a pipeline; its method is that of the request which
  // is answered.
  RequestHead head_;
  std::shared_ptr<CancelSignal> gone_;
  std::optional<Stream> answer_;
  std::optional<bhttp::response_serializer<bhttp::buffer_body>> serializer_;
  // Invariant: its bytes are counted in the server's held_bytes_.
  std::optional<HeldAnswer> held_;
  // A streamed answer is written, which may still be broken off.
  bool streaming_ = false;
  // Bounds reads of a body beside the idle time.
  base::MonoTime read_until_ = base::MonoTime::max();
  bool watching_ = false;
  // Waits for the first byte of a request.
  bool awaiting_ = false;
  bool handling_ = false;
  bool serving_ = true;
  bool keep_ = true;
  // The current request and those behind it may run in parallel.
  bool pipelining_ = false;
  // Null until a request arrives behind another.
  std::unique_ptr<Pipeline> pipeline_;
  // The caller waits to be asked for its body. Reset by the first Read.
  bool awaits_continue_ = false;
  // Set with its text once the request's body is malformed or beyond a limit.
  std::optional<ErrorCode> body_error_;
  std::string body_failure_;
  // An answer has been sent whole.
  bool answered_ = false;
  // Kept up to date for the case that the request is cut. Its cause is set
  // only while `answered_` is false.
  CutCall cut_;
  bool cut_known_ = false;
  bool cut_reported_ = false;
  // When the request was read whole.
  std::optional<base::MonoTime> read_at_;
};

}  // namespace buckthorngate::http

#endif  // SRC_HTTP_SERVER_CONNECTION_H_
