// Crashes and replacements of this host's upstreams, and the requests that did
// not cause crashes.
#include <string>
#include <unordered_set>
#include <utility>

#include "daemon/serving/destination_upstream.h"

namespace buckthorngate::daemon::serving {
namespace {

constexpr base::Duration kCrashProbeTimeout = std::chrono::milliseconds(200);
// An exiting process closes its sockets one after the other within this time,
// so a crashed upstream may still accept a connection.
constexpr base::Duration kSocketCloseTime = std::chrono::milliseconds(50);

}  // namespace

void Destination::RecordReplaced(Upstream& upstream) {
  if (!upstream.admission_.Draining()) {
    upstream.cold_->NoteCrash();
  }
  if (upstream.info_.instance_.empty() || upstream.admission_.Draining()) {
    return;
  }
  upstream.Drain(clock_.Read().mono_);
  on_replaced_(upstream.info_);
}

void Destination::RecordAnswered(const std::string& fingerprint) {
  if (fingerprint.empty()) {
    return;
  }
  answered_.Record(fingerprint, clock_.Read().mono_);
  const std::shared_ptr<const request::MeshView> view = board_.View().Read();
  const bool listed =
      view != nullptr && (view->suspects_.count(fingerprint) != 0 ||
                          view->quarantined_.count(fingerprint) != 0);
  if (listed) {
    rpc::AnsweredReport report;
    report.add_fingerprints(fingerprint);
    on_answered_(report);
  }
}

void Destination::ReportListedAnswered() {
  const std::shared_ptr<const request::MeshView> view = board_.View().Read();
  const base::MonoTime now = clock_.Read().mono_;
  rpc::AnsweredReport report;
  for (const std::unordered_set<std::string>* list :
       {&view->suspects_, &view->quarantined_}) {
    for (const std::string& fingerprint : *list) {
      if (answered_.AnsweredLately(fingerprint, now)) {
        report.add_fingerprints(fingerprint);
      }
    }
  }
  if (report.fingerprints_size() > 0) {
    on_answered_(report);
  }
}

http::Task<bool> Destination::ReportIfCrashed(
    std::shared_ptr<Upstream> upstream,
    std::string fingerprint) {
  // An upstream that no longer accepts connections has crashed.
  const http::Probed found = co_await http::StillListens(
      loop_, upstream->info_.address_, kCrashProbeTimeout, kSocketCloseTime);
  if (found != http::Probed::kNotReached) {
    co_return false;
  }
  if (upstream->crash_id_.empty()) {
    upstream->crash_id_ = host_ + "/" + std::to_string(next_crash_++) + "/" +
                          std::to_string(base::ToUnixMs(clock_.Read().wall_));
  }
  upstream->cold_->NoteCrash();
  upstream->Drain(clock_.Read().mono_);
  rpc::CrashReport report;
  report.set_crash_id(upstream->crash_id_);
  report.set_service(upstream->info_.service_);
  if (!fingerprint.empty() &&
      !answered_.AnsweredLately(fingerprint, clock_.Read().mono_)) {
    report.add_fingerprints(fingerprint);
  }
  on_crash_(upstream->info_.address_, report);
  co_return true;
}

}  // namespace buckthorngate::daemon::serving
