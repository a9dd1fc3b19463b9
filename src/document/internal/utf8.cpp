#include "document/internal/utf8.h"

#include <boost/locale/utf.hpp>

namespace cranberryspool::document {

std::optional<std::size_t> findInvalidUtf8(std::string_view Text) {
  namespace utf = boost::locale::utf;
  const char *Next = Text.data();
  const char *const End = Next + Text.size();
  while (Next != End) {
    const char *const SequenceStart = Next;
    const utf::code_point CodePoint = utf::utf_traits<char>::decode(Next, End);
    if (CodePoint == utf::illegal || CodePoint == utf::incomplete)
      return static_cast<std::size_t>(SequenceStart - Text.data());
  }
  return std::nullopt;
}

} // namespace cranberryspool::document
