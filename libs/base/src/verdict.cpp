#include "base/verdict.h"

namespace magnolia
{

std::string_view toString(Verdict verdict)
{
    switch (verdict) {
    case Verdict::NotRun:
        return "not-run";
    case Verdict::Ran:
        return "ran";
    case Verdict::MayHaveRun:
        break;
    }
    return "may-have-run";
}

} // namespace magnolia
