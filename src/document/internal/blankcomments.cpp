#include "document/blankcomments.h"

namespace cranberryspool::document {

namespace {

/// Returns the offset past the end of the string literal that starts at
/// `Offset`.
std::size_t skipString(std::string_view Text, std::size_t Offset) {
  for (++Offset; Offset < Text.size(); ++Offset) {
    if (Text[Offset] == '\\')
      ++Offset;
    else if (Text[Offset] == '"')
      return Offset + 1;
  }
  return Text.size();
}

/// Returns the offset past the end of the comment that starts at `Start`, or
/// `Start` when no terminated comment starts there.
std::size_t skipComment(std::string_view Text, std::size_t Start) {
  const std::string_view Rest = Text.substr(Start);
  if (Rest.starts_with("//")) {
    const std::size_t End = Rest.find('\n');
    return End == std::string_view::npos ? Text.size() : Start + End;
  }
  if (!Rest.starts_with("/*"))
    return Start;
  const std::size_t End = Rest.find("*/", 2);
  return End == std::string_view::npos ? Start : Start + End + 2;
}

} // namespace

std::string blankComments(std::string_view Text) {
  std::string Blanked(Text);
  std::size_t Offset = 0;
  while (Offset < Text.size()) {
    if (Text[Offset] == '"') {
      Offset = skipString(Text, Offset);
      continue;
    }
    const std::size_t End = skipComment(Text, Offset);
    if (End == Offset) {
      ++Offset;
      continue;
    }
    for (; Offset < End; ++Offset) {
      if (Blanked[Offset] != '\n')
        Blanked[Offset] = ' ';
    }
  }
  return Blanked;
}

} // namespace cranberryspool::document
