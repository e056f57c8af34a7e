// One caller's request on the entry side, with its attempts.
#ifndef SRC_DAEMON_SERVING_ENTRY_CALL_H_
#define SRC_DAEMON_SERVING_ENTRY_CALL_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "daemon/serving/entry.h"
#include "daemon/serving/refusal.h"
#include "request/endpoint_picker.h"
#include "request/mesh_view.h"
#include "request/retry.h"
#include "request/version_choice.h"
#include "rollout/evidence_collector.h"

namespace buckthorngate::daemon::serving {

class Entry::Call {
 public:
  Call(Entry& entry, http::ServerCall& call);
  ~Call();
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  http::Task<void> Run();

 private:
  // One attempt at one endpoint. Shared with the coroutine that runs it, which
  // may outlive the call if the answer of another attempt is used.
  struct Attempt {
    std::shared_ptr<const request::MeshView> view_;
    const request::EndpointView* endpoint_ = nullptr;
    std::string version_;
    base::MonoTime began_;
    // Id of the move (version rollout) that was in progress when the attempt
    // began.
    std::optional<uint64_t> move_id_;
    // With `move_id_`: id of the attempt in EvidenceCollector.
    uint64_t evidence_id_ = 0;
    bool new_version_ = false;
    // The order of declaration matters: the answer refers to the signal.
    http::CancelSignal cancel_;
    // Cancels the attempt when the caller disconnects. Reset before the call
    // ends.
    std::optional<http::CancelScope> link_;
    HopRequest request_;
    HopAnswer answer_;
    bool done_ = false;
    // The endpoint's daemon is unreachable. The endpoint may still be working
    // on the request, and its answer may still arrive.
    bool unreachable_ = false;
    // Counted in Call::reached_ before it is done.
    bool counted_early_ = false;
  };
  using AttemptPtr = std::shared_ptr<Attempt>;

  // entry_call.cc: preparation and claims.
  // Matches the route and reads the body. Returns kOk, or the code to refuse
  // the request with.
  http::Task<ResultCode> Prepare();
  ResultCode MatchRoute();
  // entry_account.cc: finds the account whose key the caller sent and sets
  // account_. Result codes: kOk, or if the route requires an account, or
  // refuses unknown keys and there is one: kAuthorityExpired,
  // kAccountKeyMissing, kAccountKeyUnknown. Without a valid lease no key
  // identifies an account.
  ResultCode IdentifyAccount();
  // Repeats the check before the request leaves the entry: it may have waited
  // for its body or its claim, or the process may have been suspended.
  ResultCode ConfirmAccount();
  // Erases the caller's key, which must not leave the entry, and its claim to
  // an account. In a mesh that uses no accounts both headers have no meaning
  // and are kept.
  void EraseAccountHeaders(http::Headers& headers) const;
  // Priority of the account if it has one, else of the route.
  uint32_t Priority() const;
  void ChooseService();
  void SetDeadlines();
  http::Task<ResultCode> ReadBody();
  // Bytes of the body that are buffered before the request is sent.
  size_t BodyBufferBytes();
  // Returns kOk if an endpoint can be picked now, or the reason why not.
  ResultCode CheckEndpoints();
  // Counts the request against its route's concurrency limit; false if the
  // limit is reached.
  bool AcquireRouteConcurrency();
  // Scope of the caller's operation keys: accounts don't share claims.
  std::string ClaimScope() const;
  std::string ClaimKey() const;
  // Claims the request's key, so that it runs at most once. If the result is
  // not kOk, the caller has already been answered.
  http::Task<ResultCode> AcquireClaim();
  http::Task<void> StoreAnswer(const HopAnswer& answer);
  http::Task<void> ReleaseClaim();
  http::Task<void> AnswerStored(const rpc::StoredAnswer& answer);
  http::Task<void> Refuse(ResultCode code, bool not_run);
  void LogRequestDone(int status, ResultCode code);

  // entry_quota.cc: quotas of client accounts.
  // Takes a token of the account's quota, if it has one. Returns kOk, or the
  // code to refuse the request with.
  http::Task<ResultCode> AcquireQuota();
  // Gives the token back, because the request did not run.
  void GiveBackQuota();
  // Value of Retry-After for a refusal as not run.
  base::Duration RefusalDelay(ResultCode code);

  // entry_attempt.cc: attempts and their outcomes; entry_retry.cc: retries.
  http::Task<void> RunAttempts();
  // Picks an endpoint and prepares an attempt; null with the reason in `code`
  // if there is no endpoint left.
  AttemptPtr BeginAttempt(ResultCode& code);
  // Picks an endpoint; null with the reason in `code` if there is none left.
  request::PickedEndpoint Pick(const request::VersionChoice& versions,
                               base::MonoTime now,
                               ResultCode& code) const;
  request::VersionChoice ChooseVersions() const;
  HopRequest MakeHopRequest(const Attempt& attempt) const;
  // Bytes of the body for which the destination is asked first; 0: none.
  uint64_t AskedBytes() const;
  Hop& SelectHop(const Attempt& attempt) const;
  // Static because a losing hedged attempt may outlive its call.
  static http::Task<void> RunHop(Hop& hop, AttemptPtr attempt);
  request::AttemptOutcome OutcomeOf(const Attempt& attempt) const;
  // Records the outcome of a finished attempt for this request and its
  // endpoint.
  request::AttemptOutcome RecordAttempt(const Attempt& attempt);
  // Avoids all endpoints of an attempt's zone, whose daemon says that the zone
  // is evacuated, until this daemon has learned of it.
  void AvoidZoneOf(const Attempt& attempt, base::MonoTime now) const;
  // Updates the statistics of the attempt's endpoint and service.
  void RecordEndpointOutcome(const Attempt& attempt,
                             const request::AttemptOutcome& outcome);
  bool MayRetry(const request::AttemptOutcome& outcome);

  // entry_overload.cc: refusals for lack of a free slot.
  // Endpoints that this request does not go to: those that were tried and those
  // that have just refused one of its kind.
  std::vector<std::string> ExcludedEndpoints(base::MonoTime now) const;
  // An endpoint has refused the request for lack of a free slot.
  void RecordOverloaded(const Attempt& attempt, base::MonoTime now);
  // Updates what is known of the endpoint's speed after an answer.
  void RecordSpeed(request::EndpointStats& stats,
                   base::Duration latency,
                   base::MonoTime now);
  // Before a nested call fails for lack of a free slot, and with it its parent:
  // waits a little, after which all endpoints may be tried again. Returns false
  // if it did not wait.
  http::Task<bool> AwaitRoom(ResultCode code);
  base::Duration RetryAfter(ResultCode code);
  std::string KindName() const { return service_name_ + "/" + RouteName(); }
  // Credits the first attempt to the service's retry budget; below a retry,
  // charges it instead.
  void RecordFirstAttempt();
  // Charges a retry to the service's retry budget; false if the budget is
  // exhausted.
  bool SpendRetryBudget(const request::AttemptOutcome& outcome);
  http::Task<void> Answer(Attempt& attempt);
  // Switches to the latest mesh view if the request still matches a route of
  // the same service there.
  void RefreshView();

  // entry_evidence.cc: evidence on the versions of a move, from attempts.
  // Report the start and the end of an attempt to the move of its service.
  void BeginEvidence(Attempt& attempt);
  void EndEvidence(const Attempt& attempt,
                   const request::AttemptOutcome& outcome,
                   bool failed);
  // Classifies the attempt as evidence on its version.
  rollout::CallEnd ClassifyEnd(const Attempt& attempt,
                               const request::AttemptOutcome& outcome,
                               bool failed,
                               base::MonoTime now) const;
  // Counts a success or failure in the brake and sends a notice if it trips.
  void UpdateBrake(const Attempt& attempt, bool failed);

  // entry_parallel.cc: attempts that run in parallel, because the request is
  // hedged or because a daemon is unreachable.
  // Runs the attempt, and a second one in parallel if the first is slow, until
  // one of open_ has succeeded or all of them are done or unreachable. Returns
  // the attempt that decides what happens next; null if it is only known that
  // daemons are unreachable.
  http::Task<AttemptPtr> RunAttempt(AttemptPtr first);
  // Adds the attempt to open_ and starts it without waiting for it.
  void Start(const AttemptPtr& attempt);
  // Starts a second attempt in parallel if nothing is decided after `delay`.
  http::Task<void> HedgeAfter(base::Duration delay);
  // Time after which the attempt is hedged; 0: never.
  base::Duration HedgeDelay(const Attempt& attempt) const;
  // Whether the attempt has an answer that can be sent to the caller without
  // waiting for other attempts.
  static bool Succeeded(const Attempt& attempt);
  // Whether one of open_ has succeeded, or none may still change the decision
  // in time: all are done or unreachable.
  bool Decided() const;
  // Waits until one of open_ has succeeded or all of them are done.
  http::Task<AttemptPtr> AwaitOpenAttempts();
  // Removes the attempts that are done from open_ and returns the one whose
  // answer or failure counts, or null. Records the others.
  AttemptPtr TakeDecisiveAttempt();
  // Counts an attempt whose daemon is unreachable as one that has reached its
  // upstream, until its outcome is known.
  void CountUnreachable(Attempt& attempt);
  // Records and cancels all of open_: their answers are not used.
  void CancelOpenAttempts();
  // Records an attempt whose answer is not used, and cancels it.
  void FinishLoser(Attempt& loser);

  // Whether the route or the method allows running the request more than once.
  bool Repeatable() const;
  // Whether the daemon knows of a newer configuration than the one in use.
  bool IsBehind() const { return entry_.board_.BehindFor().count() > 0; }
  // Time until the deadline.
  base::Duration RemainingTime() const;
  const std::string& RouteName() const { return match_.route_->name(); }
  // Admission rank of the request, from nesting and priority.
  uint32_t Rank() const { return request::RankOf(nested_, Priority()); }
  // Whether the route comes from the mesh-wide routing document, which lists
  // target services with weights, and not from a service's own file.
  bool IsMeshRoute() const { return match_.route_->targets_size() > 0; }

  Entry& entry_;
  http::ServerCall& call_;
  const request::Dialect& dialect_;
  std::shared_ptr<const request::MeshView> view_;
  request::RouteMatch match_;
  // The account that the caller's key belongs to; null: none. Owned by
  // accounts_, which stays the same when view_ is refreshed.
  const rpc::ClientAccount* account_ = nullptr;
  std::shared_ptr<const request::AccountTable> accounts_;
  // The service that the request goes to, and the state of its versions, which
  // is null for the service of a mesh route until a move of it is ordered.
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
  // Reserved for the body of an upload while it is buffered.
  request::BufferBudget::Buffer upload_buffer_;
  // The body exceeds the buffer limit: it is streamed and can be sent only
  // once.
  bool streamed_ = false;
  // The request was caused by another request's retry.
  bool below_retry_ = false;
  // The request was caused by a request that runs on this host.
  bool nested_ = false;
  // The next attempt may run the request once more, after or beside an earlier
  // one.
  bool retrying_ = false;
  bool may_have_run_ = false;
  rpc::ClaimRecord claim_;
  // Account whose quota the request is counted against; empty: none.
  std::string quota_account_;
  // Set while the request holds a token, which covers all of its attempts.
  std::optional<base::BootTime> quota_token_expires_;
  base::Duration quota_retry_after_{0};
  std::vector<std::string> tried_endpoints_;
  // Attempts that run in parallel to the coroutine of the call. If their
  // daemons are unreachable, they stay open while later ones run, and the first
  // answer is used.
  std::vector<AttemptPtr> open_;
  // Notified when one of open_ is done or unreachable.
  std::shared_ptr<http::Notifier> open_changed_;
  int attempts_ = 0;
  int waits_ = 0;  // See AwaitRoom.
  // Attempts that reached an upstream; only these count against the route's
  // max_attempts.
  int reached_ = 0;
  // Calls that the request caused, over all attempts.
  uint32_t calls_ = 0;
  std::string last_endpoint_;
  // Least forecast of the endpoints that refused the request; zero if there is
  // none.
  base::Duration room_{0};
};

}  // namespace buckthorngate::daemon::serving

#endif  // SRC_DAEMON_SERVING_ENTRY_CALL_H_
