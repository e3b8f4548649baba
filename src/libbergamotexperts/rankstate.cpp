#include "libbergamotexperts/rankstate.h"

namespace bergamot::experts {

const char *orderName(OrderKind kind) {
  switch (kind) {
  case OrderKind::Prepare:
    return "prepare";
  case OrderKind::Arm:
    return "arm";
  case OrderKind::Disarm:
    return "disarm";
  case OrderKind::Hold:
    return "hold";
  case OrderKind::Release:
    return "release";
  }
  return "";
}

} // namespace bergamot::experts
