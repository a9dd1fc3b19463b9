#include "entry/internal/headvalidation.h"

#include "entry/internal/fieldtext.h"

#include <algorithm>
#include <array>

namespace cranberryspool::entry {

namespace {

using CheckResult = framework::Result<void, RequestHeadError>;

constexpr std::string_view LineTerminator = "\r\n";
constexpr std::array<std::string_view, 7> Methods = {
    "GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"};

/// The number of framing and Host fields read so far.
struct FramingFieldCounts {
  int ContentLengths_ = 0;
  int TransferEncodings_ = 0;
  int Hosts_ = 0;
};

bool isTokenCharacter(char Character) {
  constexpr std::string_view Punctuation = "!#$%&'*+-.^_`|~";
  const bool IsDigit = Character >= '0' && Character <= '9';
  const bool IsLower = Character >= 'a' && Character <= 'z';
  const bool IsUpper = Character >= 'A' && Character <= 'Z';
  return IsDigit || IsLower || IsUpper ||
         Punctuation.find(Character) != std::string_view::npos;
}

bool isControlCharacter(char Character) {
  const auto Code = static_cast<unsigned char>(Character);
  return (Code < 0x20 && Character != '\t') || Code == 0x7f;
}

bool isVisibleCharacter(char Character) {
  const auto Code = static_cast<unsigned char>(Character);
  return Code > 0x20 && Code < 0x7f;
}

CheckResult checkRequestLine(std::string_view Line, bool &IsHttp10) {
  const std::size_t FirstSpace = Line.find(' ');
  const std::size_t LastSpace = Line.rfind(' ');
  if (FirstSpace == std::string_view::npos || FirstSpace == LastSpace)
    return RequestHeadError::RequestLine;
  const std::string_view Method = Line.substr(0, FirstSpace);
  if (std::find(Methods.begin(), Methods.end(), Method) == Methods.end())
    return RequestHeadError::Method;
  const std::string_view Target =
      Line.substr(FirstSpace + 1, LastSpace - FirstSpace - 1);
  if (!Target.starts_with('/') ||
      !std::all_of(Target.begin(), Target.end(), isVisibleCharacter))
    return RequestHeadError::RequestTarget;
  const std::string_view Version = Line.substr(LastSpace + 1);
  IsHttp10 = Version == "HTTP/1.0";
  if (!IsHttp10 && Version != "HTTP/1.1")
    return RequestHeadError::Version;
  return framework::success();
}

CheckResult countFramingField(std::string_view Name, std::string_view Value,
                              FramingFieldCounts &Counts) {
  if (equalsIgnoreCase(Name, "Host") && ++Counts.Hosts_ > 1)
    return RequestHeadError::Host;
  if (equalsIgnoreCase(Name, "Content-Length")) {
    if (++Counts.ContentLengths_ > 1)
      return RequestHeadError::RepeatedLength;
    if (!parseUnsigned(Value))
      return RequestHeadError::BadLength;
  }
  if (equalsIgnoreCase(Name, "Transfer-Encoding")) {
    if (++Counts.TransferEncodings_ > 1 || !equalsIgnoreCase(Value, "chunked"))
      return RequestHeadError::TransferCoding;
  }
  return framework::success();
}

CheckResult checkField(std::string_view Line, FramingFieldCounts &Counts) {
  if (Line.front() == ' ' || Line.front() == '\t')
    return RequestHeadError::FoldedField;
  const std::size_t Colon = Line.find(':');
  if (Colon == std::string_view::npos || Colon == 0)
    return RequestHeadError::FieldName;
  const std::string_view Name = Line.substr(0, Colon);
  if (!std::all_of(Name.begin(), Name.end(), isTokenCharacter))
    return RequestHeadError::FieldName;
  const std::string_view Value = trimmed(Line.substr(Colon + 1));
  if (std::any_of(Value.begin(), Value.end(), isControlCharacter))
    return RequestHeadError::FieldValue;
  return countFramingField(Name, Value, Counts);
}

CheckResult checkFraming(const FramingFieldCounts &Counts, bool IsHttp10) {
  if (Counts.ContentLengths_ > 0 && Counts.TransferEncodings_ > 0)
    return RequestHeadError::BothLengths;
  if (Counts.TransferEncodings_ > 0 && IsHttp10)
    return RequestHeadError::TransferCoding;
  if (Counts.Hosts_ == 0 && !IsHttp10)
    return RequestHeadError::Host;
  return framework::success();
}

} // namespace

CheckResult validateRequestHead(std::string_view Head) {
  FramingFieldCounts Counts;
  bool IsHttp10 = false;
  bool IsFirstLine = true;
  while (true) {
    const std::size_t End = Head.find(LineTerminator);
    if (End == std::string_view::npos)
      return RequestHeadError::LineEnding;
    const std::string_view Line = Head.substr(0, End);
    if (Line.find_first_of("\r\n") != std::string_view::npos)
      return RequestHeadError::LineEnding;
    Head.remove_prefix(End + LineTerminator.size());
    if (Line.empty())
      return IsFirstLine ? CheckResult(RequestHeadError::RequestLine)
                         : checkFraming(Counts, IsHttp10);
    BOOST_OUTCOME_TRY(IsFirstLine ? checkRequestLine(Line, IsHttp10)
                                  : checkField(Line, Counts));
    IsFirstLine = false;
  }
}

} // namespace cranberryspool::entry
