#include "document/keydigesttext.h"
#include "document/parsedocument.h"
#include "document/sections.h"
#include "document/tests/readfile.h"

#include <catch2/catch.hpp>

#include <array>

using namespace cranberryspool::document;

namespace {

constexpr const char *BasePath = "src/document/tests/invalid/workspaces.json";

/// An invalid document: the base document with the first occurrence of one text
/// replaced by another.
struct InvalidWorkspaces {
  const char *Name_;
  const char *OldText_;
  const char *NewText_;
};

/// The text that stands for a key, where one was written by mistake.
constexpr const char *Key = "very-secret-key";

constexpr std::array InvalidDocuments = {
    InvalidWorkspaces{"two workspaces with one name", "back-office", "kiosk"},
    InvalidWorkspaces{"an upper-case workspace name", "back-office",
                      "Very-secret-key"},
    InvalidWorkspaces{"two workspaces that share a digest", "sha256:cccc",
                      "sha256:bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
                      "bbbbbbbbbbbbbbbb\", \"sha256:cccc"},
    InvalidWorkspaces{"a digest twice in one workspace", "sha256:aaaa",
                      "sha256:bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
                      "bbbbbbbbbbbbbbbb\", \"sha256:aaaa"},
    InvalidWorkspaces{"a digest of another algorithm", "sha256:cccc",
                      "sha512:cccc"},
    InvalidWorkspaces{"a digest that is too short", "sha256:cc", "sha256:c"},
    InvalidWorkspaces{"an upper-case digest", "sha256:cc", "sha256:CC"},
    InvalidWorkspaces{"a key instead of a digest", "sha256:cc",
                      "very-secret-key"},
    InvalidWorkspaces{"a number instead of a digest",
                      "\"key-digests\": [\"sha256:c",
                      "\"key-digests\": [52, \"sha256:c"},
    InvalidWorkspaces{"a key instead of the list of digests",
                      "\"key-digests\": [\"sha256:c",
                      "\"key-digests\": \"very-secret-key\", \"priority\": "
                      "[\"sha256:c"},
    InvalidWorkspaces{"no list of digests", "\"key-digests\": [\"sha256:c",
                      "\"very-secret-key\": [\"sha256:c"},
    InvalidWorkspaces{"a key twice in a workspace", "\"priority\": 0",
                      "\"name\": \"very-secret-key\", \"priority\": 0"},
    InvalidWorkspaces{"a key instead of a workspace", "\"workspaces\": [",
                      "\"workspaces\": [\"very-secret-key\", "},
    InvalidWorkspaces{"a key instead of the list of workspaces",
                      "\"workspaces\": [",
                      "\"workspaces\": \"very-secret-key\", \"more\": ["},
    InvalidWorkspaces{"a negative priority", "\"priority\": 0",
                      "\"priority\": -1"},
    InvalidWorkspaces{"a negative rate", "0.2", "-0.2"},
    InvalidWorkspaces{"an infinite rate", "0.2", "1e999"},
    InvalidWorkspaces{"a rate that is not a number", "0.2", "NaN"},
    InvalidWorkspaces{"a rate that is a string", "0.2", "\"0.2\""},
    InvalidWorkspaces{"a rate that is too fine", "0.2", "0.0005"},
    InvalidWorkspaces{"a rate that is too large", "0.2", "1000001"},
    InvalidWorkspaces{"a negative burst", "\"burst\": 5", "\"burst\": -5"},
    InvalidWorkspaces{"no burst", ", \"burst\": 5", ""},
    InvalidWorkspaces{"a number as the quota",
                      "{\"requests-per-second\": 0.2, \"burst\": 5}", "5"},
    InvalidWorkspaces{"a kind that is open by a string", "\"anonymous\": true",
                      "\"anonymous\": \"yes\""},
};

std::string replaceFirst(std::string Text, const std::string &OldText,
                         const std::string &NewText) {
  const std::size_t Offset = Text.find(OldText);
  REQUIRE(Offset != std::string::npos);
  return Text.replace(Offset, OldText.size(), NewText);
}

std::string replaceInBase(const std::string &OldText,
                          const std::string &NewText) {
  return replaceFirst(readFile(BasePath), OldText, NewText);
}

EnvironmentDocument parseValid(const std::string &Text) {
  const auto Parsed = parseDocument(Text);
  if (!Parsed)
    for (const DocumentFault &Each : Parsed.error())
      UNSCOPED_INFO(formatFault(Each));
  REQUIRE(Parsed);
  return Parsed.value();
}

/// Returns the formatted faults of each invalid document below its name.
std::string formatAllFaults() {
  std::string Lines;
  for (const InvalidWorkspaces &Each : InvalidDocuments) {
    INFO(Each.Name_);
    const auto Parsed =
        parseDocument(replaceInBase(Each.OldText_, Each.NewText_));
    REQUIRE_FALSE(Parsed);
    Lines += std::string("# ") + Each.Name_ + "\n";
    for (const DocumentFault &Fault : Parsed.error())
      Lines += formatFault(Fault) + "\n";
  }
  return Lines;
}

} // namespace

TEST_CASE("workspaces are read with their keys, priority and quota",
          "[document]") {
  const EnvironmentDocument Document = parseValid(readFile(BasePath));
  REQUIRE(Document.Workspaces_.size() == 2);
  const Workspace &BackOffice = Document.Workspaces_[0];
  CHECK(BackOffice.Name_.value() == "back-office");
  REQUIRE(BackOffice.KeyDigests_.size() == 1);
  CHECK(digestText(BackOffice.KeyDigests_[0]) == std::string(64, 'c'));
  CHECK_FALSE(BackOffice.Priority_);
  CHECK_FALSE(BackOffice.Quota_.isLimited());
  const Workspace &Kiosk = Document.Workspaces_[1];
  CHECK(Kiosk.Name_.value() == "kiosk");
  REQUIRE(Kiosk.KeyDigests_.size() == 2);
  CHECK(digestText(Kiosk.KeyDigests_[0]) == std::string(64, 'a'));
  CHECK(Kiosk.Priority_ == 0U);
  CHECK(Kiosk.Quota_ == WorkspaceQuota{0.2, 5});
}

TEST_CASE("a kind is open to requests without a key only when it says so",
          "[document]") {
  const EnvironmentDocument Document = parseValid(readFile(BasePath));
  const auto &Kinds = Document.Services_[0].Kinds_;
  REQUIRE(Kinds[0].Name_.value() == "buy");
  CHECK_FALSE(Kinds[0].IsAnonymousAllowed_);
  CHECK(Kinds[1].IsAnonymousAllowed_);
}

// Removing the workspace instead could remove the last one, which opens the
// environment to all.
TEST_CASE("a workspace may have no key", "[document]") {
  const EnvironmentDocument Document =
      parseValid(replaceInBase("\"sha256:" + std::string(64, 'c') + "\"", ""));
  CHECK(Document.Workspaces_[0].KeyDigests_.empty());
  CHECK(parseValid(joinSections(splitDocument(Document))) == Document);
}

TEST_CASE("invalid workspaces are rejected with the expected faults",
          "[document]") {
  CHECK(formatAllFaults() ==
        readFile("src/document/tests/invalid/workspacefaults.txt"));
}

// Faults are written to logs and terminals.
TEST_CASE("faults of workspaces show neither keys nor digests", "[document]") {
  const std::string Faults = formatAllFaults();
  for (const std::string &Secret :
       {std::string(Key), std::string("Very-secret-key"), std::string("aaaa"),
        std::string("bbbb"), std::string("cccc"), std::string("CCcc")})
    CHECK(Faults.find(Secret) == std::string::npos);
}

TEST_CASE("joined sections with workspaces parse to an equal document",
          "[document]") {
  const std::string Rate = GENERATE(as<std::string>(), "0.2", "0.001", "12.345",
                                    "999999.999", "1e3", "50", "0", "-0.0");
  const EnvironmentDocument Document = parseValid(replaceInBase("0.2", Rate));
  const auto Sections = splitDocument(Document);
  REQUIRE(Sections.size() == 3);
  CHECK(Sections[2].Name_ == "workspaces");
  const EnvironmentDocument Joined = parseValid(joinSections(Sections));
  CHECK(Joined == Document);
  CHECK(splitDocument(Joined) == Sections);
}

// Instances would take the document for a new one and transfer it again.
TEST_CASE("the notation of workspaces does not change the digest",
          "[document]") {
  const std::string Base = readFile(BasePath);
  const auto Digest = documentDigest(parseValid(Base));
  const auto CheckSame = [&](const char *OldText, const char *NewText) {
    INFO(NewText);
    CHECK(documentDigest(parseValid(replaceInBase(OldText, NewText))) ==
          Digest);
  };
  CheckSame("0.2", "2.00e-1");
  CheckSame("\"burst\": 5", "\"burst\": 5.0");
  CheckSame("\"name\": \"back-office\"",
            "\"quota\": {\"requests-per-second\": 0, \"burst\": 3}, "
            "\"name\": \"back-office\"");
  CheckSame("\"deadline\": \"2s\"", "\"deadline\": \"2s\", \"anonymous\": "
                                    "false");
}

// A rotated key must not make instances fetch the services again.
TEST_CASE("a changed workspace changes only the section of workspaces",
          "[document]") {
  const auto Before = splitDocument(parseValid(readFile(BasePath)));
  const auto After =
      splitDocument(parseValid(replaceInBase("\"sha256:cc", "\"sha256:dc")));
  REQUIRE(After.size() == 3);
  CHECK(After[0] == Before[0]);
  CHECK(After[1] == Before[1]);
  CHECK(After[2].Digest_ != Before[2].Digest_);
}

// Instances of earlier builds compute the digests below. Other ones would make
// them and the present build report different documents.
TEST_CASE("documents without workspaces keep their digests", "[document]") {
  const auto Text = [](const char *Path) {
    return digestText(documentDigest(parseValid(readFile(Path))));
  };
  CHECK(Text("examples/lagos.json") == "8a22f21845605e8f");
  CHECK(Text("examples/central-belt.json") == "6c2638ab89fc1dd9");
  const std::string Base = readFile("src/document/tests/invalid/base.json");
  CHECK(digestText(documentDigest(parseValid(Base))) == "0deca6f8206553c9");
  const EnvironmentDocument Empty = parseValid(
      replaceFirst(Base, "\"zones\"", "\"workspaces\": [], \"zones\""));
  CHECK(splitDocument(Empty) == splitDocument(parseValid(Base)));
}
