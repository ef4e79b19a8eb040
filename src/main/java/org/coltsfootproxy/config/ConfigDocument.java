package org.coltsfootproxy.config;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The last document that replaced the whole configuration, as the operator sent it.
 *
 * @param number the number that the operator gave it, or 0 before the first document
 * @param text the document, byte for byte
 */
public record ConfigDocument(long number, byte[] text) {
    /** The placeholder before the first document. */
    static final ConfigDocument NONE = new ConfigDocument(0, new byte[0]);

    /** Checks that the text is present. */
    public ConfigDocument {
        checkNotNull(text, "text is missing");
    }
}
