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

const std::filesystem::path Folder = "src/decision/tests/sessions";

std::string read(const std::filesystem::path &Path) {
  std::ifstream File(Path);
  return {std::istreambuf_iterator<char>(File),
          std::istreambuf_iterator<char>()};
}

std::vector<std::string> linesOf(const std::string &Text) {
  std::vector<std::string> Lines;
  std::istringstream Stream(Text);
  for (std::string Line; std::getline(Stream, Line);)
    Lines.push_back(Line);
  return Lines;
}

/// Where two texts part: the lines before, and some of both after it.
std::string difference(const std::string &Golden, const std::string &Played) {
  constexpr std::ptrdiff_t Context = 3;
  constexpr std::ptrdiff_t Shown = 6;
  const auto Old = linesOf(Golden);
  const auto New = linesOf(Played);
  const auto Parting =
      std::mismatch(Old.begin(), Old.end(), New.begin(), New.end());
  const auto Show = [&](const auto &Lines, auto From, const char *Sign) {
    std::string Text;
    const auto End = From + std::min(Shown, Lines.end() - From);
    for (auto Line = From; Line != End; ++Line)
      Text += Sign + *Line + '\n';
    return Text;
  };
  std::string Text;
  const auto First =
      Parting.first - std::min(Context, Parting.first - Old.begin());
  for (auto Line = First; Line != Parting.first; ++Line)
    Text += "  " + *Line + '\n';
  return "from line " + std::to_string(Parting.first - Old.begin() + 1) +
         " on:\n" + Text + Show(Old, Parting.first, "- ") +
         Show(New, Parting.second, "+ ");
}

std::string play(const std::filesystem::path &Script) {
  const auto Setup = parseEnvironmentSetup(read(Folder / "environment.json"));
  REQUIRE(Setup);
  std::ostringstream Output;
  SessionRunner Runner(Setup.value(), 1, false, Output);
  std::ifstream Lines(Script);
  const auto Played = Runner.run(Lines);
  INFO((Played ? std::string() : formatSessionError(Played.error())));
  REQUIRE(Played);
  return Output.str();
}

} // namespace

TEST_CASE("whole sessions give their golden actions", "[session]") {
  std::vector<std::filesystem::path> Scripts;
  for (const auto &Entry : std::filesystem::directory_iterator(Folder))
    if (Entry.path().extension() == ".jsonl")
      Scripts.push_back(Entry.path());
  std::sort(Scripts.begin(), Scripts.end());
  REQUIRE(Scripts.size() >= 12);
  for (const std::filesystem::path &Script : Scripts) {
    const std::string Golden =
        read(std::filesystem::path(Script).replace_extension(".golden"));
    const std::string Played = play(Script);
    INFO(Script.filename().string() << ": " << difference(Golden, Played));
    CHECK((Golden == Played));
  }
}
