// The proxy role: readiness for callers.
#include "daemon/serving/proxy_role_impl.h"

namespace buckthorngate::daemon::serving {
namespace {

// Usually the first authority lease comes within a second after a start. A host
// that is cut off becomes ready without it: it serves anonymous routes.
constexpr base::Duration kMaxAuthorityWait = std::chrono::seconds(3);

}  // namespace

bool ProxyRole::Impl::Ready() {
  const std::shared_ptr<const request::MeshView> view = board_.View().Read();
  if (!view->may_serve_ || board_.Draining()) {
    return false;
  }
  const bool awaits_authority =
      view->accounts_->InUse() && board_.Authority().IsPending();
  return !awaits_authority ||
         clock_.Read().mono_ - created_ >= kMaxAuthorityWait;
}

}  // namespace buckthorngate::daemon::serving
