// Answers of a daemon's HTTP servers, common to callers' and peers' side.
#ifndef SRC_DAEMON_HTTP_ANSWER_H_
#define SRC_DAEMON_HTTP_ANSWER_H_

#include <functional>
#include <memory>
#include <string>

#include "base/time.h"
#include "buckthorngate/result_code.h"
#include "daemon/exchange.h"

namespace httplib {
struct Request;
struct Response;
}  // namespace httplib

namespace buckthorngate::daemon {

// Status, code and headers of a refusal or failure. `not_run` only if certain.
void AnswerRefusal(ResultCode code,
                   bool not_run,
                   const std::string& request_id,
                   httplib::Response& response);

// HTTP status of a refusal with this code.
int StatusOf(ResultCode code);

// Passes an exchange's head and body on. Small bodies are awaited whole, so
// that a cut one is still an error answer; others stream in bounded memory and
// a cut closes the connection. False if a small body was cut. `done` runs when
// the body has been passed on, or was not.
bool AnswerFromExchange(const std::shared_ptr<Exchange>& exchange,
                        base::MonoTime deadline,
                        std::function<void(bool whole)> done,
                        httplib::Response& response);

// Removes what httplib would apply to an answer that is already final: ranges
// and compression are the upstream's business.
void DisableAnswerRewriting(const httplib::Request& request);

// Reads a request's header, or empty.
std::string HeaderOf(const httplib::Request& request, const std::string& name);

// All headers but hop-by-hop ones and those that only daemons may set.
HeaderList PassedHeaders(const httplib::Request& request);

// Whether the connection that a request came over has been closed by its
// other side. The socket is looked up at the first call.
class ConnectionWatch {
 public:
  explicit ConnectionWatch(const httplib::Request& request);
  bool Closed();

 private:
  bool FindSocket();

  const httplib::Request& request_;
  int socket_ = -1;
  bool searched_ = false;
};

}  // namespace buckthorngate::daemon

#endif  // SRC_DAEMON_HTTP_ANSWER_H_
