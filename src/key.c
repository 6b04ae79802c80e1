/** @file key.c API keys of teams, by libsodium. */
#include "key.h"

#include <sodium.h>
#include <string.h>

#define KEY_PREFIX "mlk_"
#define KEY_ID_BYTES 6
/** Leading bytes of the hash that serve as the id of a key whose text has none. */
#define KEY_DERIVED_ID_BYTES 16
#define KEY_SECRET_BYTES 24

void key_create(const char *team, struct conf_key *key, char *text)
{
	unsigned char id[KEY_ID_BYTES];
	unsigned char secret[KEY_SECRET_BYTES];
	char secret_hex[2 * KEY_SECRET_BYTES + 1];

	memset(key, 0, sizeof(*key));
	randombytes_buf(id, sizeof(id));
	randombytes_buf(secret, sizeof(secret));
	sodium_bin2hex(key->id, sizeof(key->id), id, sizeof(id));
	sodium_bin2hex(secret_hex, sizeof(secret_hex), secret, sizeof(secret));
	g_snprintf(text, KEY_TEXT_SIZE, KEY_PREFIX "%s_%s", key->id, secret_hex);
	g_strlcpy(key->team, team, sizeof(key->team));
	key_hash(text, key->hash);
	sodium_memzero(secret, sizeof(secret));
	sodium_memzero(secret_hex, sizeof(secret_hex));
}

bool key_id(const char *text, char *id, size_t size)
{
	const char *start = text + strlen(KEY_PREFIX);
	const char *end;

	if (strncmp(text, KEY_PREFIX, strlen(KEY_PREFIX)) != 0)
		return false;
	end = strchr(start, '_');
	if (end == NULL || end == start || (size_t)(end - start) >= size)
		return false;
	g_strlcpy(id, start, (gsize)(end - start) + 1);
	return true;
}

void key_from_text(const char *text, const char *team, struct conf_key *key)
{
	memset(key, 0, sizeof(*key));
	g_strlcpy(key->team, team, sizeof(key->team));
	key_hash(text, key->hash);
	sodium_bin2hex(key->id, sizeof(key->id), key->hash, KEY_DERIVED_ID_BYTES);
}

void key_hash(const char *text, unsigned char hash[KEY_HASH_SIZE])
{
	crypto_generichash(hash, KEY_HASH_SIZE, (const unsigned char *)text, strlen(text), NULL, 0);
}

bool key_hash_equal(const unsigned char a[KEY_HASH_SIZE], const unsigned char b[KEY_HASH_SIZE])
{
	return sodium_memcmp(a, b, KEY_HASH_SIZE) == 0;
}
