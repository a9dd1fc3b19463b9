#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_COPYFIELDS_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_COPYFIELDS_H

#include "entry/types/headerfield.h"

#include <boost/beast/http/fields.hpp>

#include <string>
#include <vector>

namespace cranberryspool::entry {

/// Copies the header fields of a message in their order.
inline std::vector<HeaderField>
copyFields(const boost::beast::http::fields &Source) {
  std::vector<HeaderField> Fields;
  for (const auto &Field : Source)
    Fields.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  return Fields;
}

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_COPYFIELDS_H
