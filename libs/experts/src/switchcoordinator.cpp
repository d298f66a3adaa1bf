#include "switchcoordinatorimpl.h"

namespace magnolia::experts
{

template class SwitchCoordinator<SwitchRules>;

} // namespace magnolia::experts
