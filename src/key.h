/**
 * @file key.h
 * API keys of teams, of the form "mlk_<id>_<secret>". A key is shown once, when it is created; only
 * its hash is stored.
 */
#ifndef KEY_H
#define KEY_H

#include "conf.h"

/** Buffer size for a key's text, with its terminating NUL. */
#define KEY_TEXT_SIZE 96

/** Creates a key for @a team. @param text receives the key, in KEY_TEXT_SIZE bytes */
void key_create(const char *team, struct conf_key *key, char *text);
/** Extracts the id from a key's text. @return false if the text has no id */
bool key_id(const char *text, char *id, size_t size);
/**
 * Fills in @a key for a key that was issued elsewhere and whose text has no id. The first bytes of
 * the hash serve as its id.
 */
void key_from_text(const char *text, const char *team, struct conf_key *key);
/** Computes the BLAKE2b hash of a key's whole text. */
void key_hash(const char *text, unsigned char hash[KEY_HASH_SIZE]);
/** Compares two hashes in constant time. */
bool key_hash_equal(const unsigned char a[KEY_HASH_SIZE], const unsigned char b[KEY_HASH_SIZE]);

#endif
