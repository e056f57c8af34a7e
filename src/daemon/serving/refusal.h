// Error answers that a daemon generates itself, instead of passing on an
// upstream's answer.
#ifndef SRC_DAEMON_SERVING_REFUSAL_H_
#define SRC_DAEMON_SERVING_REFUSAL_H_

#include <string>

#include "base/random.h"
#include "base/time.h"
#include "buckthorngate/result_code.h"
#include "http/head.h"
#include "request/dialect.h"

namespace buckthorngate::daemon::serving {

struct Refusal {
  ResultCode code_ = ResultCode::kOk;
  // It is certain that application code did not run and will not run.
  bool not_run_ = false;
  std::string request_id_;
  // Value of Retry-After; zero: the header is not sent.
  base::Duration retry_after_{0};
};

// HTTP status for a result code. Statuses that imply that the request did not
// run (429, 503) are used only if that is certain.
int HttpStatusOf(ResultCode code, bool not_run);

// Head of the error answer, and its body: one line of plain text.
http::AnswerHead RefusalHead(const Refusal& refusal,
                             const request::Dialect& dialect);
std::string RefusalBody(ResultCode code);

}  // namespace buckthorngate::daemon::serving

#endif  // SRC_DAEMON_SERVING_REFUSAL_H_
