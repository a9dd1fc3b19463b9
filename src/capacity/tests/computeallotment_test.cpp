#include "capacity/computeallotment.h"
#include <catch2/catch.hpp>
