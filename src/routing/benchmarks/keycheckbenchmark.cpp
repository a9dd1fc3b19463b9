// Measures the check of a request's key: the credential is read from the
// request and its workspace is found.

#include "allocationcount.h"
#include "document/types/workspace.h"
#include "workspaces/digestkey.h"
#include "workspaces/keyindex.h"
#include "workspaces/readcredential.h"

#include <benchmark/benchmark.h>
#include <openssl/crypto.h>

#include <array>
#include <cstdlib>
#include <string>
#include <vector>

namespace {

using namespace cranberryspool;

std::uint64_t OpenSslAllocations = 0;

void *allocate(std::size_t Size, const char *, int) {
  ++OpenSslAllocations;
  return std::malloc(Size);
}

void *reallocate(void *Memory, std::size_t Size, const char *, int) {
  ++OpenSslAllocations;
  return std::realloc(Memory, Size);
}

void release(void *Memory, const char *, int) { std::free(Memory); }

/// OpenSSL accepts other functions only before its first allocation.
const bool AreOpenSslAllocationsCounted =
    CRYPTO_set_mem_functions(allocate, reallocate, release) == 1;

std::uint64_t allAllocations() {
  return routing::allocationCount() + OpenSslAllocations;
}

/// A key of 40 bytes, as operators draw them.
std::string makeKey(std::size_t Index) {
  std::string Key = std::to_string(Index);
  Key.insert(0, 40 - Key.size(), 'k');
  return Key;
}

void checkKey(benchmark::State &State) {
  const auto Keys = static_cast<std::size_t>(State.range(0));
  if (!AreOpenSslAllocationsCounted)
    State.SkipWithError("the allocations of OpenSSL are not counted");
  constexpr std::size_t KeysPerWorkspace = 10;
  std::vector<document::Workspace> Workspaces(Keys / KeysPerWorkspace);
  std::vector<std::string> Fields;
  for (std::size_t Index = 0; Index < Keys; ++Index) {
    const std::string Key = makeKey(Index);
    Workspaces[Index / KeysPerWorkspace].KeyDigests_.push_back(
        workspaces::digestKey(Key));
    Fields.push_back("Bearer " + Key);
  }
  workspaces::KeyIndex Index(workspaces::ProcessSecret{7});
  Index.assign(Workspaces);
  std::size_t Next = 0;
  const std::uint64_t Before = allAllocations();
  for (auto Iteration : State) {
    // The stride visits all keys in an order that caches cannot foresee.
    Next = (Next + 7919) % Fields.size();
    const std::array<std::string_view, 1> Values{Fields[Next]};
    const workspaces::Credential Read = workspaces::readCredential(Values);
    const auto Found = Index.find(Read.Digest_);
    if (!Found)
      State.SkipWithError("a key was not found");
    benchmark::DoNotOptimize(Found);
  }
  State.counters["allocations"] =
      benchmark::Counter(static_cast<double>(allAllocations() - Before),
                         benchmark::Counter::kAvgIterations);
}

} // namespace

BENCHMARK(checkKey)->ArgName("keys")->Arg(100)->Arg(10'000)->Arg(100'000);
