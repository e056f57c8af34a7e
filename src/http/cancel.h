// Cancellation of a request through all that works on it.
//
// Whoever waits for a socket or a timer registers how to interrupt it. A
// caller that leaves, a deadline, or a lost race raises the signal once.
#ifndef SRC_HTTP_CANCEL_H_
#define SRC_HTTP_CANCEL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace buckthorngate::http {

// Used on the loop's thread only.
class CancelSignal {
 public:
  CancelSignal() = default;
  CancelSignal(const CancelSignal&) = delete;
  CancelSignal& operator=(const CancelSignal&) = delete;

  bool Raised() const { return raised_; }

  void Raise() {
    if (raised_) {
      return;
    }
    raised_ = true;
    std::map<uint64_t, std::function<void()>> interrupts =
        std::exchange(interrupts_, {});
    for (const auto& [id, interrupt] : interrupts) {
      interrupt();
    }
  }

 private:
  friend class CancelScope;

  bool raised_ = false;
  uint64_t next_id_ = 1;
  std::map<uint64_t, std::function<void()>> interrupts_;
};

// Registers an interrupt for its own lifetime. If the signal was raised
// before, the interrupt runs at once.
class CancelScope {
 public:
  CancelScope(CancelSignal& signal, std::function<void()> interrupt)
      : signal_(signal) {
    if (signal_.raised_) {
      interrupt();
      return;
    }
    id_ = signal_.next_id_++;
    signal_.interrupts_.emplace(id_, std::move(interrupt));
  }
  ~CancelScope() { signal_.interrupts_.erase(id_); }
  CancelScope(const CancelScope&) = delete;
  CancelScope& operator=(const CancelScope&) = delete;

 private:
  CancelSignal& signal_;
  uint64_t id_ = 0;
};

}  // namespace buckthorngate::http

#endif  // SRC_HTTP_CANCEL_H_
