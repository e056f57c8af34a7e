// The entry side of a daemon in one process, with endpoints of the service "a"
// and a hop that the test supplies.
#ifndef TESTS_ENTRY_HARNESS_H_
#define TESTS_ENTRY_HARNESS_H_

#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "daemon/serving/entry.h"
#include "storage/memory_journal.h"

namespace buckthorngate::tests {

// A caller that waits for its answer to a request for "/a".
class WaitingCaller : public http::ServerCall {
 public:
  explicit WaitingCaller(const std::string& method = "GET");
  // A caller that sends a body in these pieces.
  WaitingCaller(const std::string& method, std::vector<std::string> pieces);

  const http::RequestHead& Head() const override { return head_; }
  void SetId(std::string_view) override {}
  bool HasBody() const override { return !pieces_.empty(); }
  http::CancelSignal& Gone() override { return gone_; }
  bool StillThere() override { return true; }
  bool AnswerArrived() override { return true; }
  std::optional<uint64_t> Length() const override { return 0; }
  http::Task<http::BodyState> Read(std::string& piece, size_t most) override;
  http::Task<bool> Answer(const http::AnswerHead& head,
                          std::string_view body) override;
  http::Task<bool> AnswerWithoutBody(const http::AnswerHead& head,
                                     std::optional<uint64_t> length) override;
  http::Task<bool> Begin(const http::AnswerHead& head,
                         std::optional<uint64_t> length) override;
  http::Task<bool> Write(std::string_view piece) override;
  http::Task<bool> Finish() override;
  void SetTarget(const std::string& target) { head_.target_ = target; }
  void AddHeader(const std::string& name, const std::string& value) {
    head_.headers_.Add(name, value);
  }
  void NoteBodyFailure(std::string_view) override {}
  void Abort() override {}

  // Of the answer; valid once `ended_` is set.
  int status_ = 0;
  http::AnswerHead answer_;
  std::promise<void> ended_;
  // Pieces of the body that were read.
  size_t pieces_read_ = 0;

 private:
  std::vector<std::string> pieces_;
  http::RequestHead head_;
  http::CancelSignal gone_;
};

struct EntryHarnessOptions {
  std::chrono::milliseconds route_timeout_{1000};
  bool hedge_ = false;
  // Requests of safe methods may be repeated on any route.
  bool repeatable_route_ = true;
  bool large_body_route_ = false;
  std::vector<rpc::ClientAccount> accounts_;
  bool requires_account_ = false;
  bool refuses_unknown_keys_ = false;
  // The mesh has had accounts.
  bool uses_accounts_ = false;
  uint32_t route_priority_ = 0;
  // With a bound, keys are accepted only after ConfirmAuthority.
  base::Duration revocation_bound_{0};
  // "host:port" of the daemons on the endpoints' hosts. The endpoints' ids are
  // "one", "two" and so on.
  std::vector<std::string> peer_addresses_;
};

class EntryHarness {
 public:
  using MakeHop = std::function<std::unique_ptr<daemon::serving::Hop>(
      const base::Clock& clock,
      http::EventLoop& loop)>;

  EntryHarness(const EntryHarnessOptions& options, const MakeHop& make_hop);
  ~EntryHarness();

  http::EventLoop& Loop() { return loop_; }
  // Starts a request of the caller.
  void Send(WaitingCaller& caller);
  // Publishes the view anew, with these accounts.
  void SetAccounts(const std::vector<rpc::ClientAccount>& accounts);
  // The lease on the authority to accept keys counts from `at`.
  void ConfirmAuthority(base::BootTime at) { board_.Authority().Confirm(at); }
  // The daemon knows of a newer configuration for this long.
  void SetBehindFor(base::Duration time) { board_.SetBehindFor(time); }
  // Sends a request and waits for its answer; returns the status.
  int Call();

 private:
  void PublishView(const EntryHarnessOptions& options);

  const EntryHarnessOptions options_;

  base::SystemClock clock_;
  http::EventLoop loop_;
  storage::MemoryJournal journal_;
  std::unique_ptr<distribution::ProxyNode> node_;
  daemon::control::NodeLoop node_loop_;
  daemon::serving::ClaimClient claims_;
  blackboard::Blackboard board_{1, base::MonoNow()};
  request::MeshViewBuilder views_{"zone"};
  const std::unique_ptr<daemon::serving::Hop> hop_;
  // Never used: all endpoints are on other hosts.
  const std::unique_ptr<daemon::serving::Hop> local_hop_;
  daemon::serving::Entry entry_;
};

}  // namespace buckthorngate::tests

#endif  // TESTS_ENTRY_HARNESS_H_
