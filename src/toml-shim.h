/** @file toml-shim.h C interface to libtomlplusplus, a C++ library. */
#ifndef TOML_SHIM_H
#define TOML_SHIM_H

#ifdef __cplusplus
extern "C" {
#endif

/**
 * Converts TOML to JSON.
 * @param problem receives the error and its line on failure, in @a size bytes
 * @return JSON text to be freed with free(), or NULL on failure
 */
char *toml_shim_to_json(const char *text, char *problem, unsigned long size);

#ifdef __cplusplus
}
#endif
#endif
