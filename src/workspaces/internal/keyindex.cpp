#include "workspaces/keyindex.h"

#include "document/types/workspace.h"
#include "workspaces/internal/sha256.h"

#include <openssl/crypto.h>

#include <algorithm>
#include <cstring>
#include <numeric>

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
  Starts_.assign(Entries_.size() + 1, 0);
  for (const Entry &Each : Entries_)
    ++Starts_[bucketOf(Each.Keyed_) + 1];
  std::partial_sum(Starts_.begin(), Starts_.end(), Starts_.begin());
}

std::optional<std::size_t>
KeyIndex::find(const document::KeyDigest &Digest) const {
  if (Entries_.empty())
    return std::nullopt;
  const document::KeyDigest Wanted = keyed(Digest);
  const std::size_t Bucket = bucketOf(Wanted);
  for (std::size_t Index = Starts_[Bucket]; Index < Starts_[Bucket + 1];
       ++Index) {
    const Entry &Candidate = Entries_[Index];
    if (CRYPTO_memcmp(Candidate.Keyed_.Bytes_.data(), Wanted.Bytes_.data(),
                      Wanted.Bytes_.size()) == 0)
      return Candidate.Workspace_;
  }
  return std::nullopt;
}

std::size_t KeyIndex::bucketOf(const document::KeyDigest &Keyed) const {
  const auto &Bytes = Keyed.Bytes_;
  const std::uint64_t Prefix = std::uint64_t{Bytes[0]} << 24U |
                               std::uint64_t{Bytes[1]} << 16U |
                               std::uint64_t{Bytes[2]} << 8U | Bytes[3];
  return static_cast<std::size_t>(Prefix * Entries_.size() >> 32U);
}

document::KeyDigest KeyIndex::keyed(const document::KeyDigest &Digest) const {
  std::array<std::uint8_t, sizeof(ProcessSecret) + sizeof(Digest.Bytes_)> Text;
  std::memcpy(Text.data(), Secret_.data(), Secret_.size());
  std::memcpy(Text.data() + Secret_.size(), Digest.Bytes_.data(),
              Digest.Bytes_.size());
  return sha256(Text.data(), Text.size());
}

} // namespace cranberryspool::workspaces
