#include "entry/internal/fingerprint.h"

#include "entry/types/callerrequest.h"

#include <xxhash.h>

#include <string>

namespace cranberryspool::entry {

calls::RequestFingerprint
computeFingerprint(const CallerRequest &Request, std::string_view Host,
                   const workspaces::Credential &Presented) {
  const XXH128_hash_t Body =
      XXH3_128bits(Request.Body_.data(), Request.Body_.size());
  std::string Parts;
  Parts.reserve(Request.Method_.size() + Host.size() + Request.Target_.size() +
                sizeof(Body) + 3);
  // The separator occurs in none of the parts of a valid request head.
  for (const std::string_view Part : {std::string_view(Request.Method_), Host,
                                      std::string_view(Request.Target_)})
    Parts.append(Part).push_back('\0');
  Parts.append(reinterpret_cast<const char *>(&Body), sizeof(Body));
  if (Presented.State_ == workspaces::CredentialState::Presented)
    Parts.append(
        reinterpret_cast<const char *>(Presented.Digest_.Bytes_.data()),
        Presented.Digest_.Bytes_.size());
  const XXH128_hash_t Hash = XXH3_128bits(Parts.data(), Parts.size());
  return {Hash.high64, Hash.low64};
}

} // namespace cranberryspool::entry
