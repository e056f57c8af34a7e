// Watches exchanges that run on their handler's own thread.
#include "daemon/exchange_watchdog.h"

#include <vector>

namespace buckthorngate::daemon {
namespace {

constexpr base::Duration kInterval = std::chrono::milliseconds(25);
// Younger exchanges are left alone: most end before.
constexpr base::Duration kPatience = std::chrono::milliseconds(50);

}  // namespace

ExchangeWatchdog::ExchangeWatchdog(const base::Clock& clock)
    : clock_(clock), thread_([this] { Loop(); }) {}

ExchangeWatchdog::~ExchangeWatchdog() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  thread_.join();
}

ResultCode ExchangeWatchdog::Run(Exchange& exchange,
                                 base::MonoTime deadline,
                                 const httplib::Request& request) {
  const std::shared_ptr<Entry> entry =
      std::make_shared<Entry>(exchange, clock_.Read().mono_, deadline, request);
  std::list<std::shared_ptr<Entry>>::iterator place;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    place = entries_.insert(entries_.end(), entry);
  }
  exchange.RunHere();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    entries_.erase(place);
  }
  const std::lock_guard<std::mutex> lock(entry->mutex_);
  entry->active_ = false;
  return entry->code_;
}

void ExchangeWatchdog::Check(Entry& entry, base::MonoTime now) {
  const std::lock_guard<std::mutex> lock(entry.mutex_);
  if (!entry.active_ || entry.code_ != ResultCode::kOk ||
      now - entry.began_ < kPatience) {
    return;
  }
  if (now >= entry.deadline_) {
    entry.code_ = ResultCode::kDeadlineExceeded;
  } else if (entry.watch_.Closed()) {
    entry.code_ = ResultCode::kCallerGone;
  }
  if (entry.code_ != ResultCode::kOk) {
    entry.exchange_.Abort();
  }
}

void ExchangeWatchdog::Loop() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_) {
    wake_.wait_for(lock, kInterval);
    const std::vector<std::shared_ptr<Entry>> entries(entries_.begin(),
                                                      entries_.end());
    lock.unlock();
    const base::MonoTime now = clock_.Read().mono_;
    for (const std::shared_ptr<Entry>& entry : entries) {
      Check(*entry, now);
    }
    lock.lock();
  }
}

}  // namespace buckthorngate::daemon
