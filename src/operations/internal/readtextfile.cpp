#include "operations/internal/readtextfile.h"

#include <filesystem>
#include <fstream>
#include <iterator>

namespace cranberryspool::operations {

namespace {

constexpr std::uintmax_t MaxFileBytes = 64'000'000;

} // namespace

framework::Result<std::string, ReadFailure>
readTextFile(const std::string &Path) {
  std::error_code Error;
  const std::uintmax_t Size = std::filesystem::file_size(Path, Error);
  if (!Error && Size > MaxFileBytes)
    return framework::failure(ReadFailure::TooLarge);
  std::ifstream File(Path, std::ios::binary);
  if (!File || std::filesystem::is_directory(Path, Error))
    return framework::failure(ReadFailure::CannotOpen);
  std::string Text((std::istreambuf_iterator<char>(File)),
                   std::istreambuf_iterator<char>());
  if (File.bad())
    return framework::failure(ReadFailure::CannotRead);
  return Text;
}

std::string_view readFailureText(ReadFailure Failure) {
  switch (Failure) {
  case ReadFailure::CannotOpen:
    return "cannot be opened";
  case ReadFailure::CannotRead:
    return "cannot be read";
  case ReadFailure::TooLarge:
    return "is larger than 64 MB";
  }
  return "";
}

} // namespace cranberryspool::operations
