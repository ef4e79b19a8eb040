package org.coltsfootproxy.config;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The document that set the whole configuration, as the operator wrote it.
 *
 * @param number the operator's number, 0 before the first document
 * @param text the document, byte for byte
 */
public record ConfigDocument(long number, byte[] text) {
    /** What stands before the first document. */
    static final ConfigDocument NONE = new ConfigDocument(0, new byte[0]);

    /** Checks the parts. */
    public ConfigDocument {
        checkNotNull(text, "text is missing");
    }
}
