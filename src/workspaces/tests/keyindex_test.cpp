#include "workspaces/keyindex.h"

#include "document/types/workspace.h"
#include "workspaces/digestkey.h"
#include "workspaces/makeprocesssecret.h"

#include <catch2/catch.hpp>

#include <string>

using namespace cranberryspool;
using namespace cranberryspool::workspaces;

namespace {

std::string keyName(std::size_t Workspace, std::size_t Key) {
  return "key-" + std::to_string(Workspace) + "-" + std::to_string(Key);
}

std::vector<document::Workspace> makeWorkspaces(std::size_t Count,
                                                std::size_t KeysOfEach) {
  std::vector<document::Workspace> Workspaces(Count);
  for (std::size_t Workspace = 0; Workspace < Count; ++Workspace)
    for (std::size_t Key = 0; Key < KeysOfEach; ++Key)
      Workspaces[Workspace].KeyDigests_.push_back(
          digestKey(keyName(Workspace, Key)));
  return Workspaces;
}

} // namespace

TEST_CASE("an empty index finds no key", "[workspaces]") {
  const KeyIndex Index(ProcessSecret{1});
  CHECK_FALSE(Index.find(digestKey("key")));
  CHECK_FALSE(Index.find({}));
}

// A key found for another workspace would run requests under its name.
TEST_CASE("each key leads to its workspace and no other key to any",
          "[workspaces]") {
  constexpr std::size_t Count = 83;
  constexpr std::size_t KeysOfEach = 3;
  KeyIndex Index(ProcessSecret{1});
  Index.assign(makeWorkspaces(Count, KeysOfEach));
  for (std::size_t Workspace = 0; Workspace < Count; ++Workspace) {
    for (std::size_t Key = 0; Key < KeysOfEach; ++Key)
      CHECK(Index.find(digestKey(keyName(Workspace, Key))) == Workspace);
    CHECK_FALSE(Index.find(digestKey(keyName(Workspace, KeysOfEach))));
  }
  CHECK_FALSE(Index.find({}));
}

// Buckets of the index that are empty, shared or at either end must not hide a
// key.
TEST_CASE("keys are found in an index of any size", "[workspaces]") {
  for (std::size_t Count = 1; Count <= 300; Count += Count < 20 ? 1 : 35) {
    KeyIndex Index(ProcessSecret{static_cast<std::uint8_t>(Count % 251)});
    Index.assign(makeWorkspaces(Count, 1));
    std::size_t Found = 0;
    for (std::size_t Workspace = 0; Workspace < Count; ++Workspace)
      Found += Index.find(digestKey(keyName(Workspace, 0))) == Workspace;
    CHECK(Found == Count);
    for (std::size_t Other = 0; Other < 100; ++Other)
      CHECK_FALSE(Index.find(digestKey(keyName(Other, 1))));
  }
}

TEST_CASE("a digest that differs in one bit is not found", "[workspaces]") {
  KeyIndex Index(ProcessSecret{1});
  Index.assign(makeWorkspaces(1, 1));
  const document::KeyDigest Digest = digestKey(keyName(0, 0));
  for (std::size_t Bit = 0; Bit < 8 * Digest.Bytes_.size(); ++Bit) {
    document::KeyDigest Other = Digest;
    Other.Bytes_[Bit / 8] ^= static_cast<std::uint8_t>(1U << (Bit % 8));
    CHECK_FALSE(Index.find(Other));
  }
}

// Entries left over would keep a withdrawn key in use.
TEST_CASE("new content replaces the earlier one", "[workspaces]") {
  KeyIndex Index(ProcessSecret{1});
  Index.assign(makeWorkspaces(3, 2));
  Index.assign(makeWorkspaces(2, 1));
  CHECK(Index.find(digestKey(keyName(1, 0))) == 1U);
  CHECK_FALSE(Index.find(digestKey(keyName(1, 1))));
  CHECK_FALSE(Index.find(digestKey(keyName(2, 0))));
  Index.assign({});
  CHECK_FALSE(Index.find(digestKey(keyName(0, 0))));
}

TEST_CASE("a workspace without keys is never found", "[workspaces]") {
  auto Workspaces = makeWorkspaces(3, 1);
  Workspaces[1].KeyDigests_.clear();
  KeyIndex Index(ProcessSecret{1});
  Index.assign(Workspaces);
  CHECK_FALSE(Index.find(digestKey(keyName(1, 0))));
  CHECK(Index.find(digestKey(keyName(2, 0))) == 2U);
}

// A secret that is the same in every process would let the order of the index
// be worked out beforehand.
TEST_CASE("processes have different secrets, which find the same keys",
          "[workspaces]") {
  const ProcessSecret First = makeProcessSecret();
  const ProcessSecret Second = makeProcessSecret();
  CHECK(First != Second);
  CHECK(First != ProcessSecret{});
  const auto Workspaces = makeWorkspaces(20, 2);
  KeyIndex FirstIndex(First);
  KeyIndex SecondIndex(Second);
  FirstIndex.assign(Workspaces);
  SecondIndex.assign(Workspaces);
  for (std::size_t Workspace = 0; Workspace < 20; ++Workspace) {
    const auto Digest = digestKey(keyName(Workspace, 1));
    CHECK(FirstIndex.find(Digest) == Workspace);
    CHECK(SecondIndex.find(Digest) == Workspace);
  }
}
