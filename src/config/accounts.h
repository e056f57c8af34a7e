// Checks of the client accounts of a publication.
#ifndef SRC_CONFIG_ACCOUNTS_H_
#define SRC_CONFIG_ACCOUNTS_H_

#include "config/publication.h"
#include "mesh.pb.h"

namespace buckthorngate::config {

// kOk, or the first fault with its place: kInvalidValue for a name that is
// empty or cannot be sent in a header, kDuplicateAccount, or
// kDuplicateAccountKey for a key that is empty or that two accounts hold.
// Neither keys nor digests occur in the place.
Refusal CheckAccounts(const rpc::Routing& routing);

}  // namespace buckthorngate::config

#endif  // SRC_CONFIG_ACCOUNTS_H_
