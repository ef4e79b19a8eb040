package org.coltsfootproxy.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.net.InetSocketAddress;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ProxyException;

/** Binds server sockets and reports failures as errors of the settings. */
final class Binding {
    private Binding() {}

    /**
     * Binds a server socket and returns its channel.
     *
     * @throws ProxyException of kind {@link ErrorKind#SETTINGS_INVALID} if the address can't be
     *     bound
     */
    static Channel bind(ServerBootstrap bootstrap, InetSocketAddress address)
            throws ProxyException {
        ChannelFuture future = bootstrap.bind(address).awaitUninterruptibly();
        if (!future.isSuccess()) {
            throw ProxyException.of(
                    ErrorKind.SETTINGS_INVALID,
                    "can't listen on " + address + ": " + future.cause().getMessage(),
                    future.cause());
        }
        return future.channel();
    }
}
