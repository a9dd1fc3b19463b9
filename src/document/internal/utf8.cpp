#include "document/internal/utf8.h"

#include <boost/locale/utf.hpp>

namespace cranberryspool::document {

std::optional<std::size_t> findInvalidUtf8(std::string_view Text) {
  namespace utf = boost::locale::utf;
  const char *At = Text.data();
  const char *const End = At + Text.size();
  while (At != End) {
    const char *const Start = At;
    const utf::code_point Point = utf::utf_traits<char>::decode(At, End);
    if (Point == utf::illegal || Point == utf::incomplete)
      return static_cast<std::size_t>(Start - Text.data());
  }
  return std::nullopt;
}

} // namespace cranberryspool::document
