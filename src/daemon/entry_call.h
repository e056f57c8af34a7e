// One caller's request on its way through the entry side.
#ifndef SRC_DAEMON_ENTRY_CALL_H_
#define SRC_DAEMON_ENTRY_CALL_H_

#include <memory>
#include <string>
#include <vector>

#include "daemon/entry.h"
#include "daemon/http_answer.h"
#include "daemon/request_body.h"
#include "request/endpoint_picker.h"
#include "request/mesh_view.h"
#include "request/retry.h"

namespace buckthorngate::daemon {

// Bodies up to this size are kept, so that they can be sent again.
inline constexpr size_t kReplayBytes = 64 * 1024;
// Largest body of a request that may run at most once.
inline constexpr size_t kClaimBodyBytes = 1024 * 1024;

// The target without its query.
std::string PathOf(const std::string& target);

class Entry::Call {
 public:
  Call(Entry& entry,
       const httplib::Request& request,
       const httplib::ContentReader* reader,
       httplib::Response& response);

  ~Call();

  void Run();

 private:
  // One try at one endpoint.
  struct Attempt {
    std::string id_;
    std::string version_;
    // Keeps endpoint_ valid.
    std::shared_ptr<const request::MeshView> view_;
    const request::EndpointView* endpoint_ = nullptr;
    std::shared_ptr<Exchange> exchange_;
    base::MonoTime began_;
    bool inline_ = false;
  };

  // entry_call.cc: preparation and claims.
  ResultCode Prepare();
  // Counts the call against its route's limit for this daemon; false if that
  // is reached.
  bool EnterRoute();
  bool ReadBody();
  ResultCode Claim();
  std::string ClaimKey() const;
  void StoreAnswer();
  void ReleaseClaim();
  void AnswerStored(const rpc::StoredAnswer& answer);
  void Refuse(ResultCode code, bool not_run);

  // entry_attempt.cc: attempts and retries.
  void RunAttempts();
  ResultCode Begin(Attempt& attempt);
  std::shared_ptr<Exchange> PrepareExchange(const Attempt& attempt);
  // Whether this thread may run the exchange itself.
  bool MayRunInline() const;
  ResultCode RunInline(Attempt& attempt);
  ExchangeRequest MakeRequest(const Attempt& attempt);
  // Waits for the head, a failure, the deadline or the caller's leaving;
  // hedges a safe read that is late.
  ResultCode Await(Attempt& attempt);
  bool MayHedge(const Attempt& attempt) const;
  request::AttemptOutcome Judge(Attempt& attempt, ResultCode waited);
  void Note(const Attempt& attempt, const request::AttemptOutcome& outcome);
  void RefreshView();
  bool Retry(const request::AttemptOutcome& outcome);
  void Answer(const Attempt& attempt, const request::AttemptOutcome& outcome);
  void AnswerFailure(const request::AttemptOutcome& outcome);
  base::Duration Left() const;

  Entry& entry_;
  const httplib::Request& request_;
  RequestBody request_body_;
  httplib::Response& response_;

  std::shared_ptr<const request::MeshView> view_;
  request::RouteMatch match_;
  blackboard::ServiceState* service_ = nullptr;
  std::string request_id_;
  std::string fingerprint_;
  std::string body_;
  // The body is too large to be kept and goes through as a stream.
  bool streamed_ = false;
  bool below_retry_ = false;
  bool retrying_ = false;
  base::MonoTime began_;
  base::MonoTime deadline_;
  std::vector<std::string> tried_;
  int attempts_ = 0;
  uint32_t calls_ = 0;
  // An attempt may have run: "not run" can no longer be said.
  bool may_have_run_ = false;
  // The route's counter, while this call is counted.
  std::atomic<int32_t>* route_in_flight_ = nullptr;
  // Set while this call holds a claim.
  rpc::ClaimRecord claim_;
};

}  // namespace buckthorngate::daemon

#endif  // SRC_DAEMON_ENTRY_CALL_H_
