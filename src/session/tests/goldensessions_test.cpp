#include "session/environmentfile.h"
#include "session/sessionrunner.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <vector>

using namespace cranberryspool::session;

namespace {

const std::filesystem::path SessionFolder = "src/decision/tests/sessions";

std::string readFile(const std::filesystem::path &Path) {
  std::ifstream File(Path);
  return {std::istreambuf_iterator<char>(File),
          std::istreambuf_iterator<char>()};
}

std::vector<std::string> splitLines(const std::string &Text) {
  std::vector<std::string> Lines;
  std::istringstream Stream(Text);
  for (std::string Line; std::getline(Stream, Line);)
    Lines.push_back(Line);
  return Lines;
}

/// Describes the first difference of two texts: the lines before it, and some
/// lines of both texts from there on.
std::string difference(const std::string &Golden, const std::string &Actual) {
  constexpr std::ptrdiff_t ContextLines = 3;
  constexpr std::ptrdiff_t MaxDifferingLines = 6;
  const auto GoldenLines = splitLines(Golden);
  const auto ActualLines = splitLines(Actual);
  const auto Mismatch = std::mismatch(GoldenLines.begin(), GoldenLines.end(),
                                      ActualLines.begin(), ActualLines.end());
  const auto FormatLines = [&](const auto &Input, auto Begin,
                               const char *Prefix) {
    std::string Text;
    const auto End = Begin + std::min(MaxDifferingLines, Input.end() - Begin);
    for (auto Line = Begin; Line != End; ++Line)
      Text += Prefix + *Line + '\n';
    return Text;
  };
  std::string Text;
  const auto FirstContextLine =
      Mismatch.first -
      std::min(ContextLines, Mismatch.first - GoldenLines.begin());
  for (auto Line = FirstContextLine; Line != Mismatch.first; ++Line)
    Text += "  " + *Line + '\n';
  return "from line " +
         std::to_string(Mismatch.first - GoldenLines.begin() + 1) + " on:\n" +
         Text + FormatLines(GoldenLines, Mismatch.first, "- ") +
         FormatLines(ActualLines, Mismatch.second, "+ ");
}

std::string runScript(const std::filesystem::path &Script) {
  const auto Setup =
      parseEnvironmentSetup(readFile(SessionFolder / "environment.json"));
  REQUIRE(Setup);
  std::ostringstream Output;
  SessionRunner Runner(Setup.value(), 1, false, Output);
  std::ifstream Input(Script);
  const auto Outcome = Runner.run(Input);
  INFO((Outcome ? std::string() : formatSessionError(Outcome.error())));
  REQUIRE(Outcome);
  return Output.str();
}

} // namespace

TEST_CASE("session scripts reproduce their golden output", "[session]") {
  std::vector<std::filesystem::path> Scripts;
  for (const auto &Entry : std::filesystem::directory_iterator(SessionFolder))
    if (Entry.path().extension() == ".jsonl")
      Scripts.push_back(Entry.path());
  std::sort(Scripts.begin(), Scripts.end());
  REQUIRE(Scripts.size() >= 12);
  for (const std::filesystem::path &Script : Scripts) {
    const std::string Golden =
        readFile(std::filesystem::path(Script).replace_extension(".golden"));
    const std::string Actual = runScript(Script);
    INFO(Script.filename().string() << ": " << difference(Golden, Actual));
    CHECK((Golden == Actual));
  }
}
