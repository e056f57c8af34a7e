// Names of causes and stages, as logs and metrics tell them.
#include "http/cut_call.h"

namespace buckthorngate::http {

std::string_view NameOf(CutCause cause) {
  switch (cause) {
    case CutCause::kCallerLeft:
      return "caller-left";
    case CutCause::kWriteTimedOut:
      return "write-timed-out";
    case CutCause::kWriteFailed:
      return "write-failed";
    case CutCause::kBodyBrokeOff:
      return "body-broke-off";
    case CutCause::kServerClosed:
      return "server-closed";
    case CutCause::kHandlerFailed:
      return "handler-failed";
    case CutCause::kNoAnswer:
      return "no-answer";
  }
  return "unknown";
}

std::string_view NameOf(AnswerStage stage) {
  switch (stage) {
    case AnswerStage::kWaiting:
      return "waiting";
    case AnswerStage::kHeadSent:
      return "head-sent";
    case AnswerStage::kBody:
      return "body";
  }
  return "unknown";
}

}  // namespace buckthorngate::http
