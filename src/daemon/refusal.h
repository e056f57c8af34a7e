// Answers that a daemon makes itself.
#ifndef SRC_DAEMON_REFUSAL_H_
#define SRC_DAEMON_REFUSAL_H_

#include <string>

#include "base/random.h"
#include "base/time.h"
#include "buckthorngate/result_code.h"
#include "http/head.h"
#include "request/dialect.h"

namespace buckthorngate::daemon {

struct Refusal {
  ResultCode code_ = ResultCode::kOk;
  // Certain that application code did not run and will not.
  bool not_run_ = false;
  std::string request_id_;
  // When the caller should come back; zero: not told.
  base::Duration retry_after_{0};
};

// HTTP status of a result. Statuses that promise "not run" (429, 503) are
// used only if that is certain.
int StatusOf(ResultCode code, bool not_run);

// Head of the answer, and its body in one line of plain text.
http::AnswerHead RefusalHead(const Refusal& refusal,
                             const request::Dialect& dialect);
std::string RefusalBody(ResultCode code);

}  // namespace buckthorngate::daemon

#endif  // SRC_DAEMON_REFUSAL_H_
