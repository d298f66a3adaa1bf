#ifndef MAGNOLIA_BASE_RANDOM_H
#define MAGNOLIA_BASE_RANDOM_H

#include <pcg_random.hpp>

#include <random>

namespace magnolia
{

/** The generator that decisions take by reference, so that tests and benchmarks can give a fixed seed. Not for secrets. */
using Random = pcg64;

/** @return a generator seeded from the operating system; for daemons. */
inline Random seededRandom()
{
    pcg_extras::seed_seq_from<std::random_device> source;
    return Random(source);
}

} // namespace magnolia

#endif
