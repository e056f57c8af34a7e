// Watches exchanges that run on their handler's own thread.
//
// A handler that runs its exchange itself saves two thread switches, but
// cannot look after its deadline and its caller meanwhile. One thread does so
// for all handlers, for exchanges that take longer than a moment.
#ifndef SRC_DAEMON_EXCHANGE_WATCHDOG_H_
#define SRC_DAEMON_EXCHANGE_WATCHDOG_H_

#include <condition_variable>
#include <list>
#include <memory>
#include <mutex>
#include <thread>

#include "base/time.h"
#include "buckthorngate/result_code.h"
#include "daemon/exchange.h"
#include "daemon/http_answer.h"

namespace buckthorngate::daemon {

// Safe for concurrent use.
class ExchangeWatchdog {
 public:
  explicit ExchangeWatchdog(const base::Clock& clock);
  ~ExchangeWatchdog();
  ExchangeWatchdog(const ExchangeWatchdog&) = delete;
  ExchangeWatchdog& operator=(const ExchangeWatchdog&) = delete;

  // Runs the exchange on this thread. Returns kOk, or why the watchdog ended
  // it: kDeadlineExceeded, kCallerGone.
  ResultCode Run(Exchange& exchange,
                 base::MonoTime deadline,
                 const httplib::Request& request);

 private:
  struct Entry {
    Entry(Exchange& exchange,
          base::MonoTime began,
          base::MonoTime deadline,
          const httplib::Request& request)
        : exchange_(exchange),
          began_(began),
          deadline_(deadline),
          watch_(request) {}

    std::mutex mutex_;
    // Invariant: the references below are valid while this is true.
    bool active_ = true;
    Exchange& exchange_;
    const base::MonoTime began_;
    const base::MonoTime deadline_;
    ConnectionWatch watch_;
    ResultCode code_ = ResultCode::kOk;
  };

  void Loop();
  static void Check(Entry& entry, base::MonoTime now);

  const base::Clock& clock_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::list<std::shared_ptr<Entry>> entries_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace buckthorngate::daemon

#endif  // SRC_DAEMON_EXCHANGE_WATCHDOG_H_
