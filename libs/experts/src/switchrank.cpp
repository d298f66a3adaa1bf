#include "switchrankimpl.h"

namespace magnolia::experts
{

template class SwitchRank<SwitchRules>;

} // namespace magnolia::experts
