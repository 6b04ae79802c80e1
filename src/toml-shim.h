/** @file toml-shim.h The only door to libtomlplusplus, which is C++. */
#ifndef TOML_SHIM_H
#define TOML_SHIM_H

#ifdef __cplusplus
extern "C" {
#endif

/**
 * Turn TOML into JSON.
 * @param problem on failure, what is wrong and in which line, in @a size bytes
 * @return JSON text to free(), or NULL
 */
char *toml_shim_to_json(const char *text, char *problem, unsigned long size);

#ifdef __cplusplus
}
#endif
#endif
