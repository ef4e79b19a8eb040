package org.coltsfootproxy.config;

import org.coltsfootproxy.base.KeyId;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.WireCode;

/**
 * A key of an organisation.
 *
 * @param digest SHA-256 of the key in lower-case hexadecimal; the key itself is never stored
 */
@WireCode(2)
public record Key(KeyId id, OrganisationId organisation, String digest) implements ConfigObject {
    @Override
    public ObjectName objectName() {
        return ObjectName.of(ObjectKind.KEY, id.value());
    }
}
