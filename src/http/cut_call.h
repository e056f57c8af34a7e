// What is told of a request that ended without a whole answer.
#ifndef SRC_HTTP_CUT_CALL_H_
#define SRC_HTTP_CUT_CALL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"

namespace buckthorngate::http {

// The first reason that was seen.
enum class CutCause : uint8_t {
  kCallerLeft,     // The other side closed or reset its connection.
  kWriteTimedOut,  // The other side took nothing of the answer for too long.
  kWriteFailed,    // The socket refused the answer.
  kBodyBrokeOff,   // The answer's body could not be had whole.
  kServerClosed,   // The server closed while the request was under way.
  kHandlerFailed,  // The handler ended with an exception.
  kNoAnswer,       // The handler ended without an answer.
};
inline constexpr int kCutCauseCount = 7;

// How much of the answer the socket had taken.
enum class AnswerStage : uint8_t { kWaiting, kHeadSent, kBody };

std::string_view NameOf(CutCause cause);
std::string_view NameOf(AnswerStage stage);

struct CutCall {
  // As the handler named the request; empty if it did not.
  std::string id_;
  CutCause cause_ = CutCause::kNoAnswer;
  // What the system or the answer's source said, if anything.
  std::string detail_;
  AnswerStage stage_ = AnswerStage::kWaiting;
  // Of the answer; 0 until it began.
  int status_ = 0;
  // Bytes of the answer's body that the socket took; the other side may have
  // got fewer.
  uint64_t body_sent_ = 0;
  // Of the answer's body; nothing if it was not announced.
  std::optional<uint64_t> body_length_;
  // Since the request was read whole.
  base::Duration since_read_{0};
  // An answer was written whole, but the other side had left before.
  bool answered_after_ = false;
};

}  // namespace buckthorngate::http

#endif  // SRC_HTTP_CUT_CALL_H_
