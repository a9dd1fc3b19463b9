#include "entry/internal/headshape.h"

#include "entry/internal/fieldtext.h"

#include <algorithm>
#include <array>

namespace cranberryspool::entry {

namespace {

using Check = framework::Result<void, HeadFault>;

constexpr std::string_view LineEnd = "\r\n";
constexpr std::array<std::string_view, 7> Methods = {
    "GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"};

/// The framing fields seen so far.
struct Framing {
  int Lengths_ = 0;
  int Codings_ = 0;
  int Hosts_ = 0;
};

bool isTokenCharacter(char Character) {
  constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
  const bool IsDigit = Character >= '0' && Character <= '9';
  const bool IsLower = Character >= 'a' && Character <= 'z';
  const bool IsUpper = Character >= 'A' && Character <= 'Z';
  return IsDigit || IsLower || IsUpper ||
         Marks.find(Character) != std::string_view::npos;
}

bool isControl(char Character) {
  const auto Code = static_cast<unsigned char>(Character);
  return (Code < 0x20 && Character != '\t') || Code == 0x7f;
}

bool isVisible(char Character) {
  const auto Code = static_cast<unsigned char>(Character);
  return Code > 0x20 && Code < 0x7f;
}

Check checkRequestLine(std::string_view Line, bool &IsOldVersion) {
  const std::size_t First = Line.find(' ');
  const std::size_t Last = Line.rfind(' ');
  if (First == std::string_view::npos || First == Last)
    return HeadFault::RequestLine;
  const std::string_view Method = Line.substr(0, First);
  if (std::find(Methods.begin(), Methods.end(), Method) == Methods.end())
    return HeadFault::Method;
  const std::string_view Target = Line.substr(First + 1, Last - First - 1);
  if (!Target.starts_with('/') ||
      !std::all_of(Target.begin(), Target.end(), isVisible))
    return HeadFault::RequestTarget;
  const std::string_view Version = Line.substr(Last + 1);
  IsOldVersion = Version == "HTTP/1.0";
  if (!IsOldVersion && Version != "HTTP/1.1")
    return HeadFault::Version;
  return framework::success();
}

Check noteFraming(std::string_view Name, std::string_view Value,
                  Framing &Seen) {
  if (isSameField(Name, "Host") && ++Seen.Hosts_ > 1)
    return HeadFault::Host;
  if (isSameField(Name, "Content-Length")) {
    if (++Seen.Lengths_ > 1)
      return HeadFault::RepeatedLength;
    if (!parseCount(Value))
      return HeadFault::BadLength;
  }
  if (isSameField(Name, "Transfer-Encoding")) {
    if (++Seen.Codings_ > 1 || !isSameField(Value, "chunked"))
      return HeadFault::TransferCoding;
  }
  return framework::success();
}

Check checkField(std::string_view Line, Framing &Seen) {
  if (Line.front() == ' ' || Line.front() == '\t')
    return HeadFault::FoldedField;
  const std::size_t Colon = Line.find(':');
  if (Colon == std::string_view::npos || Colon == 0)
    return HeadFault::FieldName;
  const std::string_view Name = Line.substr(0, Colon);
  if (!std::all_of(Name.begin(), Name.end(), isTokenCharacter))
    return HeadFault::FieldName;
  const std::string_view Value = trimmed(Line.substr(Colon + 1));
  if (std::any_of(Value.begin(), Value.end(), isControl))
    return HeadFault::FieldValue;
  return noteFraming(Name, Value, Seen);
}

Check checkFraming(const Framing &Seen, bool IsOldVersion) {
  if (Seen.Lengths_ > 0 && Seen.Codings_ > 0)
    return HeadFault::BothLengths;
  if (Seen.Codings_ > 0 && IsOldVersion)
    return HeadFault::TransferCoding;
  if (Seen.Hosts_ == 0 && !IsOldVersion)
    return HeadFault::Host;
  return framework::success();
}

} // namespace

Check checkHeadShape(std::string_view Raw) {
  Framing Seen;
  bool IsOldVersion = false;
  bool IsFirst = true;
  while (true) {
    const std::size_t End = Raw.find(LineEnd);
    if (End == std::string_view::npos)
      return HeadFault::LineEnding;
    const std::string_view Line = Raw.substr(0, End);
    if (Line.find_first_of("\r\n") != std::string_view::npos)
      return HeadFault::LineEnding;
    Raw.remove_prefix(End + LineEnd.size());
    if (Line.empty())
      return IsFirst ? Check(HeadFault::RequestLine)
                     : checkFraming(Seen, IsOldVersion);
    BOOST_OUTCOME_TRY(IsFirst ? checkRequestLine(Line, IsOldVersion)
                              : checkField(Line, Seen));
    IsFirst = false;
  }
}

} // namespace cranberryspool::entry
