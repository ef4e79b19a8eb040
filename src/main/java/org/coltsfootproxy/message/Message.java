package org.coltsfootproxy.message;

/**
 * A message between two hosts of the fleet.
 *
 * <p>Messages are immutable records. Their {@link org.coltsfootproxy.base.WireCode}s are 100-199
 * for {@link CallMessage}, 200-299 for {@link RaftMessage}, 300-399 for {@link ConfigMessage},
 * 400-449 for {@link LimitMessage}, 450-499 for {@link OwnerMessage}, 600-699 for {@link
 * JobMessage} and 700-799 for {@link FleetMessage}.
 */
public sealed interface Message
        permits CallMessage,
                RaftMessage,
                ConfigMessage,
                LimitMessage,
                OwnerMessage,
                JobMessage,
                FleetMessage {
    /** Returns the lane that the message is sent on. */
    Lane lane();
}
