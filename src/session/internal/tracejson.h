#ifndef CRANBERRYSPOOL_SESSION_INTERNAL_TRACEJSON_H
#define CRANBERRYSPOOL_SESSION_INTERNAL_TRACEJSON_H

#include "decision/action.h"
#include "decision/event.h"

#include <boost/json/object.hpp>

namespace cranberryspool::session {

/// Returns an action as the JSON object of one output line, with its kind as
/// the first member.
boost::json::object actionToJson(const decision::Action &Action);

/// Returns an event as the JSON object of one output line, with its kind as the
/// first member.
boost::json::object eventToJson(const decision::Event &Event);

} // namespace cranberryspool::session

#endif // CRANBERRYSPOOL_SESSION_INTERNAL_TRACEJSON_H
