#include "workspaces/keyindex.h"

#include "document/types/workspace.h"
#include "workspaces/internal/sha256.h"

#include <openssl/crypto.h>

#include <algorithm>
#include <cstring>

namespace cranberryspool::workspaces {

void KeyIndex::assign(const std::vector<document::Workspace> &Workspaces) {
  Entries_.clear();
  for (std::size_t Position = 0; Position < Workspaces.size(); ++Position)
    for (const document::KeyDigest &Each : Workspaces[Position].KeyDigests_)
      Entries_.push_back({keyed(Each), Position});
  std::sort(Entries_.begin(), Entries_.end(),
            [](const Entry &Left, const Entry &Right) {
              return Left.Keyed_ < Right.Keyed_;
            });
}

std::optional<std::size_t>
KeyIndex::find(const document::KeyDigest &Digest) const {
  const document::KeyDigest Wanted = keyed(Digest);
  const auto Found =
      std::lower_bound(Entries_.begin(), Entries_.end(), Wanted,
                       [](const Entry &Left, const document::KeyDigest &Right) {
                         return Left.Keyed_ < Right;
                       });
  if (Found == Entries_.end() ||
      CRYPTO_memcmp(Found->Keyed_.Bytes_.data(), Wanted.Bytes_.data(),
                    Wanted.Bytes_.size()) != 0)
    return std::nullopt;
  return Found->Workspace_;
}

document::KeyDigest KeyIndex::keyed(const document::KeyDigest &Digest) const {
  std::array<std::uint8_t, sizeof(ProcessSecret) + sizeof(Digest.Bytes_)> Text;
  std::memcpy(Text.data(), Secret_.data(), Secret_.size());
  std::memcpy(Text.data() + Secret_.size(), Digest.Bytes_.data(),
              Digest.Bytes_.size());
  return sha256(Text.data(), Text.size());
}

} // namespace cranberryspool::workspaces
