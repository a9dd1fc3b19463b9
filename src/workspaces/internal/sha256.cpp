// The functions below are declared as deprecated since OpenSSL 3.0, which
// recommends EVP_Digest. With EVP_Digest, OpenSSL 3.0 allocates the state of
// each digest, also when the context and the algorithm are used again, and
// takes more than twice as long (see checkKey in cranberry-benchmark).
#define OPENSSL_SUPPRESS_DEPRECATED

#include "workspaces/internal/sha256.h"

#include <openssl/sha.h>

namespace cranberryspool::workspaces {

document::KeyDigest sha256(const void *Data, std::size_t Size) {
  document::KeyDigest Digest;
  SHA256_CTX State;
  SHA256_Init(&State);
  SHA256_Update(&State, Data, Size);
  SHA256_Final(Digest.Bytes_.data(), &State);
  return Digest;
}

} // namespace cranberryspool::workspaces
