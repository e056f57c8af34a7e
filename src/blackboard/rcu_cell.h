// A value published by one writer and read without locks, by read-copy-update
// (RCU).
#ifndef SRC_BLACKBOARD_RCU_CELL_H_
#define SRC_BLACKBOARD_RCU_CELL_H_

#include <urcu-bp.h>

#include <memory>

namespace buckthorngate::blackboard {

// Readers copy a shared pointer inside a read-side critical section, so that a
// long request can keep its value without delaying writers. liburcu's "bp"
// flavour registers reader threads automatically, which suits a server whose
// threads are created by a library.
template <typename T>
class RcuCell {
 public:
  explicit RcuCell(std::shared_ptr<const T> first)
      : holder_(new Holder{std::move(first)}) {}
  ~RcuCell() { delete holder_; }
  RcuCell(const RcuCell&) = delete;
  RcuCell& operator=(const RcuCell&) = delete;

  // Wait-free; safe for concurrent use.
  std::shared_ptr<const T> Read() const {
    urcu_bp_read_lock();
    const Holder* holder = rcu_dereference(holder_);
    std::shared_ptr<const T> value = holder->value_;
    urcu_bp_read_unlock();
    return value;
  }

  // One writer at a time. Blocks until no reader can access the old holder.
  void Publish(std::shared_ptr<const T> value) {
    Holder* const next = new Holder{std::move(value)};
    Holder* const old = holder_;
    rcu_assign_pointer(holder_, next);
    urcu_bp_synchronize_rcu();
    delete old;
  }

 private:
  struct Holder {
    std::shared_ptr<const T> value_;
  };

  Holder* holder_;
};

}  // namespace buckthorngate::blackboard

#endif  // SRC_BLACKBOARD_RCU_CELL_H_
