#ifndef CRANBERRYSPOOL_ENTRY_TYPES_HEADERFIELD_H
#define CRANBERRYSPOOL_ENTRY_TYPES_HEADERFIELD_H

#include <string>

namespace cranberryspool::entry {

/// One HTTP header field.
struct HeaderField {
  std::string Name_;
  std::string Value_;

  friend bool operator==(const HeaderField &, const HeaderField &) = default;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_TYPES_HEADERFIELD_H
