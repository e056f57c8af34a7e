// Bounds the memory of request bodies that are buffered before they are sent.
//
// A large body is buffered while it arrives, so that it holds no slot of an
// upstream meanwhile and can be sent to another endpoint if one refuses it.
// Once the budget is used up, further bodies are streamed.
#ifndef SRC_REQUEST_BUFFER_BUDGET_H_
#define SRC_REQUEST_BUFFER_BUDGET_H_

#include <cstddef>
#include <utility>

namespace buckthorngate::request {

// Not safe for concurrent use.
class BufferBudget {
 public:
  explicit BufferBudget(size_t most_buffers) : most_buffers_(most_buffers) {}

  // A buffer that was reserved; gives it back when destroyed. The budget must
  // outlive it.
  class Buffer {
   public:
    Buffer() = default;
    Buffer(Buffer&& other) noexcept
        : budget_(std::exchange(other.budget_, nullptr)) {}
    Buffer& operator=(Buffer&& other) noexcept {
      std::swap(budget_, other.budget_);
      return *this;
    }
    Buffer(const Buffer&) = delete;
    Buffer& operator=(const Buffer&) = delete;
    ~Buffer() {
      if (budget_ != nullptr) {
        --budget_->used_;
      }
    }
    explicit operator bool() const { return budget_ != nullptr; }

   private:
    friend class BufferBudget;
    explicit Buffer(BufferBudget* budget) : budget_(budget) {}

    BufferBudget* budget_ = nullptr;
  };

  // Reserves a buffer; the result is false if none is left.
  Buffer Reserve() {
    if (used_ >= most_buffers_) {
      return Buffer();
    }
    ++used_;
    return Buffer(this);
  }
  size_t Used() const { return used_; }

 private:
  const size_t most_buffers_;
  size_t used_ = 0;
};

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_BUFFER_BUDGET_H_
