// Test helper that runs a request over a hop.
#include "sent_hop.h"

namespace buckthorngate::tests {
namespace {

// Not a lambda, because the coroutine would outlive the lambda's closure.
http::Task<void> RunHop(daemon::serving::Hop& hop, SentHop& sent) {
  sent.answer_ = co_await hop.Run(sent.request_);
  sent.ended_.set_value();
}

}  // namespace

daemon::serving::HopRequest MakeHopRequest() {
  daemon::serving::HopRequest request;
  request.head_.method_ = "GET";
  request.head_.target_ = "/a";
  request.endpoint_id_ = "host/1.2.3.4:5";
  request.request_id_ = "id";
  request.attempt_id_ = "id/1";
  request.caller_host_ = "entry";
  request.fingerprint_ = "a:1";
  request.route_ = "main";
  return request;
}

SentHop::SentHop(daemon::serving::Hop& hop,
                 http::EventLoop& loop,
                 const daemon::serving::HopRequest& request,
                 base::Duration deadline)
    : request_(request) {
  request_.deadline_ = base::MonoNow() + deadline;
  request_.objective_ = request_.deadline_;
  request_.caller_connected_ = [] { return true; };
  request_.cancel_ = &cancel_;
  loop.RunAndWait([&] { loop.Spawn(RunHop(hop, *this)); });
}

}  // namespace buckthorngate::tests
