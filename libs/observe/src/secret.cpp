#include "observe/secret.h"

#include <openssl/crypto.h>

#include <utility>

namespace magnolia::observe
{

Secret::Secret(std::string text) : text_(std::move(text)) {}

const std::string &Secret::expose() const
{
    return text_;
}

bool Secret::empty() const
{
    return text_.empty();
}

bool Secret::matches(std::string_view candidate) const
{
    // An unset secret must not let in a caller who sends none.
    if (text_.empty() || text_.size() != candidate.size()) {
        return false;
    }
    return CRYPTO_memcmp(text_.data(), candidate.data(), text_.size()) == 0;
}

} // namespace magnolia::observe
