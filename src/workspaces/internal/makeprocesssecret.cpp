#include "workspaces/makeprocesssecret.h"

#include <openssl/rand.h>

#include <cstdlib>

namespace cranberryspool::workspaces {

ProcessSecret makeProcessSecret() {
  ProcessSecret Secret{};
  if (RAND_bytes(Secret.data(), static_cast<int>(Secret.size())) != 1)
    std::abort();
  return Secret;
}

} // namespace cranberryspool::workspaces
