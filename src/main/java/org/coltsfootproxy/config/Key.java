package org.coltsfootproxy.config;

import org.coltsfootproxy.base.KeyId;
import org.coltsfootproxy.base.OrganisationId;

/**
 * A key of an organisation.
 *
 * @param digest SHA-256 of the key in lower-case hexadecimal; the key itself is stored nowhere
 */
public record Key(KeyId id, OrganisationId organisation, String digest) {}
