#include "document/blankcomments.h"

namespace cranberryspool::document {

namespace {

/// Returns the offset behind the string literal that starts at `At`.
std::size_t skipString(std::string_view Text, std::size_t At) {
  for (++At; At < Text.size(); ++At) {
    if (Text[At] == '\\')
      ++At;
    else if (Text[At] == '"')
      return At + 1;
  }
  return Text.size();
}

/// Returns the offset behind the comment that starts at `At`, or `At` when no
/// whole comment starts there.
std::size_t skipComment(std::string_view Text, std::size_t At) {
  const std::string_view Rest = Text.substr(At);
  if (Rest.starts_with("//")) {
    const std::size_t End = Rest.find('\n');
    return End == std::string_view::npos ? Text.size() : At + End;
  }
  if (!Rest.starts_with("/*"))
    return At;
  const std::size_t End = Rest.find("*/", 2);
  return End == std::string_view::npos ? At : At + End + 2;
}

} // namespace

std::string blankComments(std::string_view Text) {
  std::string Blanked(Text);
  std::size_t At = 0;
  while (At < Text.size()) {
    if (Text[At] == '"') {
      At = skipString(Text, At);
      continue;
    }
    const std::size_t End = skipComment(Text, At);
    if (End == At) {
      ++At;
      continue;
    }
    for (; At < End; ++At) {
      if (Blanked[At] != '\n')
        Blanked[At] = ' ';
    }
  }
  return Blanked;
}

} // namespace cranberryspool::document
