#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_FIELDSOF_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_FIELDSOF_H

#include "entry/types/headerfield.h"

#include <boost/beast/http/fields.hpp>

#include <string>
#include <vector>

namespace cranberryspool::entry {

/// Copies the fields of a head in their order.
inline std::vector<HeaderField>
fieldsOf(const boost::beast::http::fields &From) {
  std::vector<HeaderField> Fields;
  for (const auto &Field : From)
    Fields.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  return Fields;
}

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_FIELDSOF_H
