// One request of a caller, on the entry side.
#ifndef SRC_DAEMON_ENTRY_CALL_H_
#define SRC_DAEMON_ENTRY_CALL_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "daemon/entry.h"
#include "daemon/refusal.h"
#include "request/endpoint_picker.h"
#include "request/mesh_view.h"
#include "request/retry.h"
#include "request/version_choice.h"
#include "rollout/evidence_collector.h"

namespace buckthorngate::daemon {

class Entry::Call {
 public:
  Call(Entry& entry, http::ServerCall& call);
  ~Call();
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  http::Task<void> Run();

 private:
  // One try at one endpoint. Shared with the coroutine that runs it, which
  // outlasts the call if the try is hedged and loses.
  struct Attempt {
    std::shared_ptr<const request::MeshView> view_;
    const request::EndpointView* endpoint_ = nullptr;
    std::string version_;
    base::MonoTime began_;
    // Of the move that was under way when the attempt began.
    std::optional<uint64_t> move_;
    // With `move_`: what EvidenceCollector calls the attempt.
    uint64_t evidence_ = 0;
    bool new_version_ = false;
    // In this order: the request refers to the signal, and the answer to what
    // the request keeps.
    http::CancelSignal cancel_;
    HopRequest request_;
    HopAnswer answer_;
    bool done_ = false;
  };
  using AttemptPtr = std::shared_ptr<Attempt>;

  // entry_call.cc: preparation and claims.
  // Matches the route and reads the body; kOk, or the reason to refuse.
  http::Task<ResultCode> Prepare();
  ResultCode MatchRoute();
  void ChooseTarget();
  void SetTimes();
  http::Task<ResultCode> ReadBody();
  // Counts the request against its route's limit; false if that is reached.
  bool EnterRoute();
  std::string ClaimKey() const;
  // kOk, or else the caller has been answered.
  http::Task<ResultCode> Claim();
  http::Task<void> StoreAnswer(const HopAnswer& answer);
  http::Task<void> ReleaseClaim();
  http::Task<void> AnswerStored(const rpc::StoredAnswer& answer);
  http::Task<void> Refuse(ResultCode code, bool not_run);
  void LogDone(int status, ResultCode code);

  // entry_attempt.cc: tries and their judgement.
  http::Task<void> RunAttempts();
  // Picks an endpoint; null if there is none left.
  AttemptPtr Begin(ResultCode& code);
  request::VersionChoice ChooseVersions() const;
  HopRequest MakeHopRequest(const Attempt& attempt) const;
  Hop& HopTo(const Attempt& attempt) const;
  // Static: an attempt that lost may outlast its call.
  static http::Task<void> RunHop(Hop& hop, AttemptPtr attempt);
  request::AttemptOutcome OutcomeOf(const Attempt& attempt) const;
  // Counts an attempt that has ended, for this request and its endpoint.
  request::AttemptOutcome Account(const Attempt& attempt);
  void Note(const Attempt& attempt, const request::AttemptOutcome& outcome);
  bool MayRetry(const request::AttemptOutcome& outcome);
  // Tells the service's budget that the request is about to be sent.
  void NoteFirstTry();
  // Takes the price of a retry from the service's budget, if it has that much.
  bool PayForRetry(const request::AttemptOutcome& outcome);
  http::Task<void> Answer(Attempt& attempt);
  void RefreshView();

  // entry_evidence.cc: what attempts tell of a move's versions.
  // Tells the move of the attempt's service that it begins, or how it ended.
  void BeginEvidence(Attempt& attempt);
  void NoteEvidence(const Attempt& attempt,
                    const request::AttemptOutcome& outcome,
                    bool failed);
  // What the attempt says of its version.
  rollout::CallEnd JudgeEnd(const Attempt& attempt,
                            const request::AttemptOutcome& outcome,
                            bool failed,
                            base::MonoTime now) const;
  void NoteBrake(const Attempt& attempt, bool failed);

  // entry_hedge.cc: a second try beside a slow one.
  // Runs the attempt, and a second one beside it if it is slow; returns the
  // one whose answer counts.
  http::Task<AttemptPtr> RunHedged(AttemptPtr first);
  base::Duration HedgeDelay(const Attempt& attempt) const;
  // Whether the attempt has an answer that ends the request.
  static bool Succeeded(const Attempt& attempt);
  // Accounts for the attempt whose answer does not count, and cancels it.
  void EndLoser(Attempt& loser);

  // Whether the route or the method allows more than one run.
  bool Repeatable() const;
  base::Duration Left() const;
  const std::string& RouteName() const { return match_.route_->name(); }
  uint32_t Rank() const {
    return request::RankOf(nested_, match_.route_->priority());
  }
  bool OfMesh() const { return match_.route_->targets_size() > 0; }

  Entry& entry_;
  http::ServerCall& call_;
  const request::Dialect& dialect_;
  std::shared_ptr<const request::MeshView> view_;
  request::RouteMatch match_;
  // The service that serves the request, and what is known of its versions.
  std::string service_name_;
  const rpc::ServiceState* service_state_ = nullptr;
  blackboard::ServiceRuntimeState* service_ = nullptr;
  std::atomic<int32_t>* route_in_flight_ = nullptr;
  const base::MonoTime began_;
  base::MonoTime deadline_;
  base::MonoTime objective_;
  std::string request_id_;
  std::string fingerprint_;
  std::string body_;
  // The body is longer than what is kept: it can be sent once only.
  bool streamed_ = false;
  bool below_retry_ = false;
  // A call of a request that runs on this host.
  bool nested_ = false;
  bool retrying_ = false;
  bool may_have_run_ = false;
  rpc::ClaimRecord claim_;
  std::vector<std::string> tried_;
  int attempts_ = 0;
  // Attempts that reached an upstream, which are what a route limits.
  int reached_ = 0;
  uint32_t calls_ = 0;
  std::string last_endpoint_;
};

}  // namespace buckthorngate::daemon

#endif  // SRC_DAEMON_ENTRY_CALL_H_
