package org.coltsfootproxy.base;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/** Names the encoding that {@link RecordCodec} uses for a frequent record type. */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.TYPE)
public @interface EncodedBy {
    /** Returns a public class with a public constructor without parameters. */
    Class<? extends RecordEncoding<?>> value();
}
