package org.coltsfootproxy.base;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/** The number that identifies a record type on the wire and on disk. A number is never reused. */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.TYPE)
public @interface WireCode {
    /** Returns the number, which is unique among the records of one sealed interface. */
    int value();
}
