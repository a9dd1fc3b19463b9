// Checks that a credential is read from any `Authorization` values without a
// fault, that it depends on nothing but them, and that a key is presented only
// by one field. Lines of the input are the values of the fields.

#include "workspaces/digestkey.h"
#include "workspaces/readcredential.h"

#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

using namespace cranberryspool::workspaces;

namespace {

void require(bool Condition) {
  if (!Condition)
    std::abort();
}

std::vector<std::string_view> splitLines(std::string_view Text) {
  std::vector<std::string_view> Lines;
  while (!Text.empty()) {
    const std::size_t End = Text.find('\n');
    Lines.push_back(Text.substr(0, End));
    Text = End == std::string_view::npos ? std::string_view()
                                         : Text.substr(End + 1);
  }
  return Lines;
}

/// A presented key is the last word of its field and is read again as written.
void checkPresented(std::string_view Value, const Credential &Read) {
  const std::size_t End = Value.find_last_not_of(" \t") + 1;
  const std::size_t Start = Value.find_last_of(" \t", End - 1) + 1;
  const std::string Key(Value.substr(Start, End - Start));
  require(!Key.empty() && Key.size() <= MaxKeyBytes);
  require(Read.Digest_ == digestKey(Key));
  const std::string Canonical = "Bearer " + Key;
  require(readCredential(std::vector<std::string_view>{Canonical}) == Read);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const auto Values = splitLines({reinterpret_cast<const char *>(Data), Size});
  const Credential Read = readCredential(Values);
  require(readCredential(Values) == Read);
  require((Read.State_ == CredentialState::Absent) == Values.empty());
  if (Values.size() > 1)
    require(Read.State_ == CredentialState::Malformed);
  if (Read.State_ == CredentialState::Presented)
    checkPresented(Values.front(), Read);
  else
    require(Read.Digest_ == cranberryspool::document::KeyDigest());
  return 0;
}
