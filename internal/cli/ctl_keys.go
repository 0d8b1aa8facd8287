package cli

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/damasklb/damasklb/internal/config"
	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/pki"
)

// tokenBytes makes tokens that cannot be guessed, so that a plain hash of them
// may be stored.
const tokenBytes = 32

func newCtlKeys(env Env) *ffcli.Command {
	fs := newFlagSet("damasklb ctl keys", env)
	return &ffcli.Command{
		Name:       "keys",
		ShortUsage: "damasklb ctl keys <command> [flags]",
		ShortHelp:  "make and renew certificates and tokens",
		LongHelp: `Processes use renewed files without a restart.

Examples:
  damasklb ctl keys authority --dir keys --name tirtamaja
  damasklb ctl keys issue --dir keys --role entry --name entry-1 --addresses 10.0.0.1,entry-1.example
  damasklb ctl keys renew --dir keys`,
		FlagSet:     fs,
		Subcommands: []*ffcli.Command{newKeysAuthority(env), newKeysIssue(env), newKeysList(env), newKeysRenew(env), newKeysToken(env)},
		Exec:        unknownCommand("damasklb ctl keys", fs),
	}
}

func keysDir(fs *flag.FlagSet) *string {
	return fs.String("dir", "keys", "`directory` of the certificates and keys")
}

func newKeysAuthority(env Env) *ffcli.Command {
	f := &ctlFlags{env: env}
	fs := newFlagSet("damasklb ctl keys authority", env)
	dir := keysDir(fs)
	name := fs.String("name", "damasklb", "`name` of the installation")
	return f.command(&ffcli.Command{
		Name:       "authority",
		ShortUsage: "damasklb ctl keys authority [flags]",
		ShortHelp:  "make a certificate authority",
		LongHelp: `Writes ca.crt and ca.key. Only ca.crt belongs on other hosts.

Example:
  damasklb ctl keys authority --dir keys --name tirtamaja`,
		FlagSet: fs,
		Exec: func(context.Context, []string) error {
			if _, err := os.Stat(filepath.Join(*dir, pki.AuthorityKeyFile)); err == nil {
				return fault.BadCertificate.New("directory %s already holds an authority", *dir)
			}
			authority, err := pki.NewAuthority(*name)
			if err != nil {
				return err
			}
			if err := authority.Save(*dir); err != nil {
				return err
			}
			f.printf("authority %s written\n", *name)
			return nil
		},
	}, 0)
}

func newKeysIssue(env Env) *ffcli.Command {
	f := &ctlFlags{env: env}
	fs := newFlagSet("damasklb ctl keys issue", env)
	dir := keysDir(fs)
	name := fs.String("name", "", "`name` of the holder: the entry's id, the agent's host, the operator or the caller")
	role := fs.String("role", "", "`role` of the holder: entry, agent, operator or caller")
	addresses := fs.String("addresses", "", "IP addresses and DNS `names` of the holder, separated by commas")
	validity := fs.Duration("validity", pki.DefaultValidity, "`duration` for which the certificate is valid, such as 2160h")
	return f.command(&ffcli.Command{
		Name:       "issue",
		ShortUsage: "damasklb ctl keys issue [flags]",
		ShortHelp:  "make a key and a certificate",
		LongHelp: `Writes <role>-<name>.crt and <role>-<name>.key.

Examples:
  damasklb ctl keys issue --role agent --name kiln-07 --addresses 10.0.3.7
  damasklb ctl keys issue --role operator --name maarika`,
		FlagSet: fs,
		Exec: func(context.Context, []string) error {
			parsed, err := pki.ParseRole(*role)
			if err != nil {
				return fault.Usage.New("--role %q is not allowed; allowed: %v", *role, pki.Roles())
			}
			if *name == "" {
				return fault.Usage.New("--name is needed: the name of the holder")
			}
			authority, err := pki.LoadAuthority(*dir)
			if err != nil {
				return err
			}
			files, err := authority.IssueTo(*dir, *name, parsed, splitList(*addresses), *validity)
			if err != nil {
				return err
			}
			f.printf("%s and %s written\n", filepath.Base(files.Cert), filepath.Base(files.Key))
			return nil
		},
	}, 0)
}

func splitList(s string) []string {
	return strings.FieldsFunc(s, func(r rune) bool { return r == ',' || r == ' ' })
}

// heldJSON is a certificate for programs.
type heldJSON struct {
	Name      string    `json:"name"`
	Role      pki.Role  `json:"role"`
	Addresses []string  `json:"addresses"`
	NotAfter  time.Time `json:"not_after"`
	Due       bool      `json:"due"`
}

func newKeysList(env Env) *ffcli.Command {
	f := &ctlFlags{env: env}
	fs := newFlagSet("damasklb ctl keys list", env)
	f.output(fs)
	dir := keysDir(fs)
	return f.command(&ffcli.Command{
		Name:       "list",
		ShortUsage: "damasklb ctl keys list [flags]",
		ShortHelp:  "list certificates and when they expire",
		LongHelp:   "Example:\n  damasklb ctl keys list --dir keys",
		FlagSet:    fs,
		Exec: func(context.Context, []string) error {
			held, err := pki.ListCertificates(*dir)
			if err != nil {
				return err
			}
			return f.printHeld(held)
		},
	}, 0)
}

func (f *ctlFlags) printHeld(held []pki.CertificateInfo) error {
	now := time.Now()
	all := []heldJSON{}
	var rows [][]string
	for _, h := range held {
		all = append(all, heldJSON{h.Name, h.Role, h.Addresses, h.NotAfter, h.RenewalDue(now)})
		due := "no"
		if h.RenewalDue(now) {
			due = "yes"
		}
		rows = append(rows, []string{string(h.Role), h.Name, h.NotAfter.UTC().Format(time.RFC3339), due, strings.Join(h.Addresses, ",")})
	}
	if f.json {
		return printJSON(f.env.Stdout, all)
	}
	f.printTable([]string{"ROLE", "NAME", "EXPIRES", "DUE", "ADDRESSES"}, rows)
	return nil
}

func newKeysRenew(env Env) *ffcli.Command {
	f := &ctlFlags{env: env}
	fs := newFlagSet("damasklb ctl keys renew", env)
	dir := keysDir(fs)
	all := fs.Bool("all", false, "renew all certificates, not only those with less than a third of their validity left")
	return f.command(&ffcli.Command{
		Name:       "renew",
		ShortUsage: "damasklb ctl keys renew [flags]",
		ShortHelp:  "renew certificates that are due",
		LongHelp:   "Example:\n  damasklb ctl keys renew --dir keys",
		FlagSet:    fs,
		Exec: func(context.Context, []string) error {
			authority, err := pki.LoadAuthority(*dir)
			if err != nil {
				return err
			}
			renewed, err := authority.Renew(*dir, time.Now(), *all)
			for _, h := range renewed {
				f.printf("renewed %s %s\n", h.Role, h.Name)
			}
			if err == nil {
				f.printf("%d certificates renewed\n", len(renewed))
			}
			return err
		},
	}, 0)
}

// tokenJSON is a new token for programs.
type tokenJSON struct {
	Token string           `json:"token"`
	Hash  config.TokenHash `json:"hash"`
}

func newKeysToken(env Env) *ffcli.Command {
	f := &ctlFlags{env: env}
	fs := newFlagSet("damasklb ctl keys token", env)
	f.output(fs)
	return f.command(&ffcli.Command{
		Name:       "token",
		ShortUsage: "damasklb ctl keys token [flags]",
		ShortHelp:  "make a random bearer token and its hash",
		LongHelp: `The token goes to its holder, the hash to the configuration. The token cannot
be shown again.

Example:
  damasklb ctl keys token`,
		FlagSet: fs,
		Exec: func(context.Context, []string) error {
			raw := make([]byte, tokenBytes)
			// crypto/rand.Read never fails; it stops the program if it cannot read.
			_, _ = rand.Read(raw)
			token := base64.RawURLEncoding.EncodeToString(raw)
			hash := config.HashToken(token)
			if f.json {
				return printJSON(env.Stdout, tokenJSON{token, hash})
			}
			text, err := hash.MarshalText()
			if err != nil {
				return err
			}
			f.printf("token: %s\nhash:  %s\n", token, text)
			return nil
		},
	}, 0)
}
